// Package bundle defines the versioned configuration document of the fleet that operators accept: organisations, classes of work,
// models, events and services.
package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/config"
)

// Bundle defines what each organisation may use and what each class of work may claim. It is immutable once accepted.
type Bundle struct {
	// Version is positive and increases with every accepted bundle.
	Version int64 `json:"version"`
	// Base is the version that was accepted when this one was pushed.
	Base int64 `json:"base,omitempty"`
	// Parts are the digests of the stored parts that contain the organisations. It is empty in a bundle that is not split.
	Parts []string `json:"parts,omitempty"`
	// Organisations have unique names.
	Organisations []Organisation `json:"organisations"`
	// Classes have unique names; the first is the default.
	Classes []Class `json:"classes"`
	// Models have unique names.
	Models []Model `json:"models"`
	// Events have unique names.
	Events []Event `json:"events,omitempty"`
	// Services are the names of the plain services that callers may use.
	Services []string `json:"services,omitempty"`
}

// Organisation is one customer.
type Organisation struct {
	// Name is unique.
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of its bearer keys, in hex.
	KeyDigests []string `json:"key_digests"`
	// MaxConcurrent limits the concurrent requests on one instance; zero means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Models are the names of the models it may use; empty means all.
	Models []string `json:"models,omitempty"`
}

// Class is a class of work, with its deadline, priority and objective.
type Class struct {
	// Name is unique.
	Name string `json:"name"`
	// Deadline is the maximum duration of a request.
	Deadline config.Duration `json:"deadline"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority"`
	// Job is set for work that no caller waits for. It is kept in the store until it is done.
	Job bool `json:"job,omitempty"`
	// Yields is set for work that is shed first under load.
	Yields bool `json:"yields,omitempty"`
	// ContinueElsewhere allows a stream that broke off to be continued at another target.
	ContinueElsewhere bool `json:"continue_elsewhere,omitempty"`
	// Objective is the service level objective, against which the burn rate is reported.
	Objective Objective `json:"objective"`
}

// Objective is a service level objective for the time to the first token.
type Objective struct {
	// FirstToken is the maximum time to the first token.
	FirstToken config.Duration `json:"first_token"`
	// Share is the share of requests that must meet FirstToken, above 0 and below 1.
	Share float64 `json:"share"`
}

// Model is a model that engines serve.
type Model struct {
	// Name is unique.
	Name string `json:"name"`
	// MaxTokens limits the length of a prompt.
	MaxTokens int `json:"max_tokens"`
	// Copies is the desired number of engines per availability zone that serve the model; zero leaves the engines unchanged.
	Copies int `json:"copies,omitempty"`
}

// eventLeadTime is the time before the start of an event from which its load is expected, so that its targets are free of long prompts
// at the start.
const eventLeadTime = time.Minute

// Event is a period of known additional load, such as the hour of an outage or the opening of a reading room.
type Event struct {
	// Name is unique.
	Name string `json:"name"`
	// Start is the time at which the event begins, Length its duration.
	Start  time.Time       `json:"start"`
	Length config.Duration `json:"length"`
	// TokensPerSecond is the expected load of short prompts on the whole fleet.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// ExpectedTokensPerSecond returns the load of short prompts expected at a time from all events.
func (bd Bundle) ExpectedTokensPerSecond(now time.Time) float64 {
	sum := 0.0
	for _, ev := range bd.Events {
		if now.After(ev.Start.Add(-eventLeadTime)) && now.Before(ev.Start.Add(ev.Length.Std())) {
			sum += ev.TokensPerSecond
		}
	}
	return sum
}

// KeyDigest returns the digest of a bearer key as used in Organisation.KeyDigests.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse decodes a bundle and checks it. The error is of type config.Faults.
func Parse(b []byte) (Bundle, error) {
	var bd Bundle
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&bd); err != nil {
		return Bundle{}, config.Faults{{Path: "(document)", Value: err.Error(), Want: "a bundle"}}
	}
	return bd, bd.Check().ErrorOrNil()
}

// Digest returns the digest of the content without Version and Base, so that equal content has the same digest in every version.
func (bd Bundle) Digest() (string, error) {
	bd.Version, bd.Base = 0, 0
	b, err := json.Marshal(bd)
	if err != nil {
		return "", errors.Wrap(err, "encode bundle")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// WithVersion returns a copy with another version and base.
func (bd Bundle) WithVersion(v, base int64) Bundle {
	bd.Version, bd.Base = v, base
	return bd
}

// Check returns all faults of the bundle.
func (bd Bundle) Check() config.Faults {
	var fs config.Faults
	names := map[string]bool{}
	checkUnique := func(path, name string) {
		if name == "" || names[path+name] {
			fs = append(fs, &config.Fault{Path: path, Value: name, Want: "a name used once"})
		}
		names[path+name] = true
	}
	for _, o := range bd.Organisations {
		checkUnique("organisations.name", o.Name)
		for _, d := range o.KeyDigests {
			if len(d) != 2*sha256.Size {
				fs = append(fs, &config.Fault{Path: "organisations.key_digests", Value: d, Want: "a SHA-256 digest in hex"})
			}
		}
	}
	for _, c := range bd.Classes {
		checkUnique("classes.name", c.Name)
		fs = append(fs, c.check()...)
	}
	for _, m := range bd.Models {
		checkUnique("models.name", m.Name)
	}
	for _, ev := range bd.Events {
		checkUnique("events.name", ev.Name)
		if ev.Length <= 0 || ev.TokensPerSecond < 0 {
			fs = append(fs, &config.Fault{Path: "events.length", Value: ev.Length.Std().String(), Want: "a positive duration and load"})
		}
	}
	if len(bd.Classes) == 0 {
		fs = append(fs, &config.Fault{Path: "classes", Value: "[]", Want: "at least one class"})
	}
	return fs
}

func (cl Class) check() config.Faults {
	var fs config.Faults
	if cl.Deadline <= 0 {
		fs = append(fs, &config.Fault{Path: "classes.deadline", Value: cl.Deadline.Std().String(), Want: "a positive duration"})
	}
	if cl.Objective.Share <= 0 || cl.Objective.Share >= 1 {
		fs = append(fs, &config.Fault{
			Path: "classes.objective.share", Value: fmt.Sprint(cl.Objective.Share), Want: "a share above 0 and below 1",
		})
	}
	return fs
}

// CheckDrain returns a fault for each class that callers wait for whose deadline exceeds the drain time of a planned stop.
func (bd Bundle) CheckDrain(drain time.Duration) config.Faults {
	var fs config.Faults
	for _, c := range bd.Classes {
		if !c.Job && c.Deadline.Std() > drain {
			fs = append(fs, &config.Fault{
				Path: "classes." + c.Name + ".deadline", Value: c.Deadline.Std().String(),
				Want: "at most stop.drain (" + drain.String() + "), or a job class",
			})
		}
	}
	return fs
}

// Class returns the class with a name. An empty name selects the first class.
func (bd Bundle) Class(name string) (Class, bool) {
	if name == "" && len(bd.Classes) > 0 {
		return bd.Classes[0], true
	}
	i := slices.IndexFunc(bd.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return bd.Classes[i], true
}

// Model returns the model with a name.
func (bd Bundle) Model(name string) (Model, bool) {
	i := slices.IndexFunc(bd.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return bd.Models[i], true
}
