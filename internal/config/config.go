// Package config holds the settings of one process.
package config

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
)

// Settings is what a process is told when it starts. It does not change while the process runs.
type Settings struct {
	// Instance is unique among live instances.
	Instance string `json:"instance" jsonschema:"required"`
	// AvailabilityZone is where this instance runs.
	AvailabilityZone string `json:"availability_zone" jsonschema:"required"`
	// Callers is the listener for callers.
	Callers Callers `json:"callers,omitzero"`
	// Operators is the listener for operators.
	Operators Operators `json:"operators,omitzero"`
	// Peers is the listener for other instances.
	Peers Peers `json:"peers,omitzero"`
	// Platform is where the object API is.
	Platform Platform `json:"platform,omitzero"`
	// Routing says how targets are chosen.
	Routing Routing `json:"routing,omitzero"`
	// Stop says how a planned stop runs.
	Stop Stop `json:"stop,omitzero"`
	// Gateway is set on instances that serve the protocol of an adapter in place of the product's own; the sections
	// above but the instance's name and availability zone then stay unused.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// JSONSchemaExtend adds which sections each role needs to the schema.
func (Settings) JSONSchemaExtend(sc *jsonschema.Schema) {
	sc.AnyOf = []*jsonschema.Schema{
		{Required: []string{"gateway"}},
		{Required: []string{"callers", "operators", "peers", "platform"}},
	}
}

// Callers holds the limits of the callers' listener.
type Callers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen" jsonschema:"required"`
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
	Listen string `json:"listen" jsonschema:"required"`
	// Key is the bearer key that operators present.
	Key string `json:"key" jsonschema:"required"`
}

// Peers holds how instances talk to each other.
type Peers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen" jsonschema:"required"`
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
	URL string `json:"url" jsonschema:"required"`
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

// Load reads settings from a file as Parse does. Defaults are not filled in.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse reads settings from JSON. A field that is not known is a fault. When the error is Faults, it holds all that does
// not decode, and the settings hold the rest.
func Parse(b []byte) (Settings, error) {
	tree, fs := decodeTree(b)
	if len(fs) > 0 {
		return Settings{}, fs
	}
	rd := &validator{}
	sound := rd.validate("", tree, reflect.TypeFor[Settings]())
	if len(rd.faults) > 0 {
		return decodeValid(sound), rd.faults
	}
	return decodeStrict(b)
}

// strict decodes a document in which the reader found no fault. The decoder decides in the end, so that no document
// passes that it refuses: a tree keeps only the last of two fields with one name.
func decodeStrict(b []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, Faults{decodeFault(b, err)}
	}
	return s, nil
}

// Schema returns the JSON schema of the settings.
func Schema() ([]byte, error) {
	rf := &jsonschema.Reflector{ExpandedStruct: true, RequiredFromJSONSchemaTags: true}
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
