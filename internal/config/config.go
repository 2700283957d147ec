// Package config defines, reads and checks the settings of one process.
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

// Settings configure a process. They do not change while the process runs; a reload reads new Settings.
type Settings struct {
	// Instance is a name that is unique among live instances.
	Instance string `json:"instance" jsonschema:"required"`
	// AvailabilityZone is the name of the availability zone of this instance.
	AvailabilityZone string `json:"availability_zone" jsonschema:"required"`
	// Callers configures the listener for callers.
	Callers Callers `json:"callers,omitzero"`
	// Operators configures the listener for operators.
	Operators Operators `json:"operators,omitzero"`
	// Peers configures the communication with other instances.
	Peers Peers `json:"peers,omitzero"`
	// Platform configures access to the object API.
	Platform Platform `json:"platform,omitzero"`
	// Routing configures the selection of targets.
	Routing Routing `json:"routing,omitzero"`
	// Stop configures a planned stop.
	Stop Stop `json:"stop,omitzero"`
	// Gateway is set on instances that serve the protocol of an adapter instead of the product's own. Of the other fields, only Instance
	// and AvailabilityZone are used then.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// JSONSchemaExtend adds to the schema which sections each role requires.
func (Settings) JSONSchemaExtend(sc *jsonschema.Schema) {
	sc.AnyOf = []*jsonschema.Schema{
		{Required: []string{"gateway"}},
		{Required: []string{"callers", "operators", "peers", "platform"}},
	}
}

// Callers holds the address and limits of the listener for callers.
type Callers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen" jsonschema:"required"`
	// Advertise is the address to which peers forward requests; empty means the bound address.
	Advertise string `json:"advertise,omitempty"`
	// MaxBodyBytes limits the size of one request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyBudgetBytes limits the total size of all request bodies held at the same time.
	BodyBudgetBytes int64 `json:"body_budget_bytes"`
	// HeaderTimeout limits the time to read the request headers.
	HeaderTimeout Duration `json:"header_timeout"`
}

// Operators holds the address and key of the listener for operators.
type Operators struct {
	// Listen is an IP address and port.
	Listen string `json:"listen" jsonschema:"required"`
	// Key is the bearer key that operators present.
	Key string `json:"key" jsonschema:"required"`
}

// Peers configures the communication between instances.
type Peers struct {
	// Listen is an IP address and port.
	Listen string `json:"listen" jsonschema:"required"`
	// Seeds are addresses of peers to contact while the platform is unavailable.
	Seeds []string `json:"seeds,omitempty"`
	// Secret is shared by all instances and authenticates peers if no certificates are configured.
	Secret string `json:"secret"`
	// Certificate, Key and Authority are paths of PEM files. Either all three or none are set.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	Authority   string `json:"authority,omitempty"`
	// Heartbeat is the interval of heartbeats to a peer in the same availability zone.
	Heartbeat Duration `json:"heartbeat"`
	// RemoteEvery is the interval of heartbeats to a peer in another availability zone, as a multiple of Heartbeat.
	RemoteEvery int `json:"remote_every"`
	// FullMesh is the maximum number of peers at which each instance is linked to all others. In a larger fleet, it is linked to all
	// peers in its availability zone and to RemoteLinks peers in each other zone.
	FullMesh int `json:"full_mesh"`
	// RemoteLinks is the number of links to each other availability zone in a fleet larger than FullMesh. It is at least one.
	RemoteLinks int `json:"remote_links"`
	// Lost is the time without messages after which a peer is considered lost.
	Lost Duration `json:"lost"`
}

// Platform holds the address of the object API and the rate limits of this instance.
type Platform struct {
	// URL is the base URL of the object API.
	URL string `json:"url" jsonschema:"required"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls of this instance.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Timeout limits the duration of one call, except watches.
	Timeout Duration `json:"timeout"`
	// Registration is the interval at which this instance renews its object in the store.
	Registration Duration `json:"registration"`
}

// Routing configures the selection of targets.
type Routing struct {
	// Policy is the name of a registered routing policy.
	Policy string `json:"policy"`
	// LongTokens is the prompt length in tokens from which a request counts as long.
	LongTokens int `json:"long_tokens"`
	// LongPerTarget limits the number of long prompts on one target at the same time.
	LongPerTarget int `json:"long_per_target"`
	// LongShare limits the share of targets that accept long prompts, from 0 to 1.
	LongShare float64 `json:"long_share"`
	// RetryShare is the retry budget, as a share of first attempts.
	RetryShare float64 `json:"retry_share"`
	// MaxAttempts limits the number of attempts of one request.
	MaxAttempts int `json:"max_attempts"`
	// ReportEvery is the interval at which the owner of a target requests its load reports.
	ReportEvery Duration `json:"report_every"`
	// MaxWaiting limits the number of requests that wait for free capacity.
	MaxWaiting int `json:"max_waiting"`
}

// Stop configures a planned stop.
type Stop struct {
	// BalancerLag is the time for which new requests are still accepted after a stop was requested.
	BalancerLag Duration `json:"balancer_lag"`
	// Drain limits the wait for requests in flight whose callers wait for the response.
	Drain Duration `json:"drain"`
}

// Load reads and parses a settings file as Parse does. It does not apply defaults.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse decodes settings from JSON. Unknown fields are faults. If the error is of type Faults, it lists everything that does not
// decode, and the returned settings contain the valid fields.
func Parse(b []byte) (Settings, error) {
	tree, fs := decodeTree(b)
	if len(fs) > 0 {
		return Settings{}, fs
	}
	vd := &validator{}
	valid := vd.validate("", tree, reflect.TypeFor[Settings]())
	if len(vd.faults) > 0 {
		return decodeValid(valid), vd.faults
	}
	return decodeStrict(b)
}

// decodeStrict decodes a document in which the validator found no fault. Every document that the JSON decoder refuses must be refused:
// the decoder also checks the first of two fields with the same name, while the tree contains only the second.
func decodeStrict(b []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, Faults{decodeFault(b, err)}
	}
	return s, nil
}

// Schema returns the JSON schema of Settings.
func Schema() ([]byte, error) {
	reflector := &jsonschema.Reflector{ExpandedStruct: true, RequiredFromJSONSchemaTags: true}
	b, err := json.MarshalIndent(reflector.Reflect(&Settings{}), "", "  ")
	return b, errors.Wrap(err, "encode schema")
}

// CheckListen returns a fault unless v is an IP address with a port.
func CheckListen(path, v string) Faults {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return Faults{{Path: path, Value: v, Want: "an IP address and port such as 127.0.0.1:8080"}}
	}
	return nil
}
