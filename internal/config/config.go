// Package config holds the settings of one process.
package config

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
)

// Settings is what a process is told when it starts. It does not change while the process runs.
type Settings struct {
	// Instance is unique among live instances.
	Instance string `json:"instance"`
	// AvailabilityZone is where this instance runs.
	AvailabilityZone string `json:"availability_zone"`
	// Callers is the listener for callers.
	Callers Callers `json:"callers"`
	// Operators is the listener for operators.
	Operators Operators `json:"operators"`
	// Peers is the listener for other instances.
	Peers Peers `json:"peers"`
	// Platform is where the object API is.
	Platform Platform `json:"platform"`
	// Routing says how targets are chosen.
	Routing Routing `json:"routing"`
	// Stop says how a planned stop runs.
	Stop Stop `json:"stop"`
	// Gateway is set on instances that serve the protocol of an adapter in place of the product's own; the sections
	// above but the instance's name and availability zone then stay unused.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// Callers holds the limits of the callers' listener.
type Callers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Advertise is the address peers forward to; empty means the bound address.
	Advertise string `json:"advertise,omitempty"`
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyBudgetBytes bounds all request bodies held at once.
	BodyBudgetBytes int64 `json:"body_budget_bytes"`
	// HeaderTimeout bounds the reading of request headers.
	HeaderTimeout Duration `json:"header_timeout"`
}

// Operators holds the operators' listener.
type Operators struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Key is the bearer key that operators present.
	Key string `json:"key"`
}

// Peers holds how instances talk to each other.
type Peers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Seeds are addresses of peers to try while the platform cannot be asked.
	Seeds []string `json:"seeds,omitempty"`
	// Secret is shared by all instances; it proves a peer where no certificates are given.
	Secret string `json:"secret"`
	// Certificate, Key and Authority are PEM files; all three or none.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	Authority   string `json:"authority,omitempty"`
	// Heartbeat is the time between two heartbeats to a peer in the same availability zone.
	Heartbeat Duration `json:"heartbeat"`
	// RemoteEvery is how many heartbeats pass between two to a peer in another availability zone.
	RemoteEvery int `json:"remote_every"`
	// FullMesh is the number of peers up to which each instance is linked to all others. In a larger fleet it is
	// linked to those in its availability zone and to RemoteLinks in each other.
	FullMesh int `json:"full_mesh"`
	// RemoteLinks is at least one.
	RemoteLinks int `json:"remote_links"`
	// Lost is the silence after which a peer counts as gone.
	Lost Duration `json:"lost"`
}

// Platform holds where the object API is and this instance's share of its rates.
type Platform struct {
	// URL is the base of the object API.
	URL string `json:"url"`
	// WritesPerSecond and ReadsPerSecond bound this instance's calls.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Timeout bounds one call that is not a watch.
	Timeout Duration `json:"timeout"`
	// Registration is the time between two renewals of this instance's object.
	Registration Duration `json:"registration"`
}

// Routing holds how targets are chosen.
type Routing struct {
	// Policy is the name of a registered policy.
	Policy string `json:"policy"`
	// LongTokens is the prompt length from which a request counts as long.
	LongTokens int `json:"long_tokens"`
	// LongPerTarget bounds the long prompts on one target.
	LongPerTarget int `json:"long_per_target"`
	// LongShare bounds the share of targets that take long prompts, from 0 to 1.
	LongShare float64 `json:"long_share"`
	// RetryShare bounds retries as a share of first attempts.
	RetryShare float64 `json:"retry_share"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max_attempts"`
	// ReportEvery is the time between two load reports asked from an owned target.
	ReportEvery Duration `json:"report_every"`
	// MaxWaiting bounds the requests that wait for room.
	MaxWaiting int `json:"max_waiting"`
}

// Stop holds how a planned stop runs.
type Stop struct {
	// BalancerLag is how long new requests are still accepted after a stop was asked for.
	BalancerLag Duration `json:"balancer_lag"`
	// Drain bounds the wait for attached requests.
	Drain Duration `json:"drain"`
}

// Load reads settings from a file. Defaults are not filled in.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse reads settings from JSON. A field that is not known is a fault.
func Parse(b []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, Faults{decodeFault(err)}
	}
	return s, nil
}

func decodeFault(err error) *Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return &Fault{Path: te.Field, Value: te.Value, Want: "a " + te.Type.String()}
	}
	var ft *Fault
	if errors.As(err, &ft) {
		return &Fault{Path: "(duration)", Value: ft.Value, Want: ft.Want}
	}
	return &Fault{Path: "(document)", Value: err.Error(), Want: "settings as `silvermount schema` prints them"}
}

// Schema returns the JSON schema of the settings.
func Schema() ([]byte, error) {
	rf := &jsonschema.Reflector{ExpandedStruct: true}
	b, err := json.MarshalIndent(rf.Reflect(&Settings{}), "", "  ")
	return b, errors.Wrap(err, "encode schema")
}

// CheckListen returns a fault unless v is an IP address with a port.
func CheckListen(path, v string) Faults {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return Faults{{Path: path, Value: v, Want: "an IP address and port such as 127.0.0.1:8080"}}
	}
	return nil
}
