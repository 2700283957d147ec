package config

import (
	"time"

	"github.com/invopop/jsonschema"
)

// Duration is a time.Duration written in JSON as a string such as "500ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (dn Duration) Std() time.Duration { return time.Duration(dn) }

// MarshalText formats the duration as time.Duration does.
func (dn Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dn).String()), nil
}

// wantDuration is the Want of faults at durations.
const wantDuration = "a duration such as 500ms"

// UnmarshalText parses the format of time.ParseDuration. Its error is a Fault without a path.
func (dn *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return &Fault{Value: string(b), Want: wantDuration}
	}
	*dn = Duration(d)
	return nil
}

// JSONSchema returns the schema of the string format.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: `^([0-9.]+(ns|us|ms|s|m|h))+$`}
}
