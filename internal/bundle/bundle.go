// Package bundle defines the versioned document that operators sign off.
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

// Bundle states who may use what, and what each class of work may claim. It is immutable once signed.
type Bundle struct {
	// Version is positive and grows with every accepted bundle.
	Version int64 `json:"version"`
	// Base is the accepted version on top of which this one was pushed.
	Base int64 `json:"base,omitempty"`
	// Parts are the digests of stored parts with the organisations; empty in a whole bundle.
	Parts []string `json:"parts,omitempty"`
	// Organisations have unique names.
	Organisations []Organisation `json:"organisations"`
	// Classes have unique names; the first is the default.
	Classes []Class `json:"classes"`
	// Models have unique names.
	Models []Model `json:"models"`
	// Events have unique names.
	Events []Event `json:"events,omitempty"`
	// Services are the plain services that callers may reach.
	Services []string `json:"services,omitempty"`
}

// Organisation is one customer.
type Organisation struct {
	// Name is unique.
	Name string `json:"name"`
	// KeyDigests are SHA-256 digests of bearer keys, in hex.
	KeyDigests []string `json:"key_digests"`
	// MaxConcurrent bounds requests at once on one instance; zero means no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Models are those it may use; empty means all.
	Models []string `json:"models,omitempty"`
}

// Class is one kind of work.
type Class struct {
	// Name is unique.
	Name string `json:"name"`
	// Deadline is the longest time a request may take.
	Deadline config.Duration `json:"deadline"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority"`
	// Job is set for work that nobody waits for; it is kept in the store until done.
	Job bool `json:"job,omitempty"`
	// Yields is set for work that is refused first under load.
	Yields bool `json:"yields,omitempty"`
	// ContinueElsewhere allows a broken stream to go on at another target.
	ContinueElsewhere bool `json:"continue_elsewhere,omitempty"`
	// Objective is what burn is reported against.
	Objective Objective `json:"objective"`
}

// Objective is a service level.
type Objective struct {
	// FirstToken is the time within which the first token is due.
	FirstToken config.Duration `json:"first_token"`
	// Share is the share of requests that must meet it, above 0 and below 1.
	Share float64 `json:"share"`
}

// Model is one model that engines serve.
type Model struct {
	// Name is unique.
	Name string `json:"name"`
	// MaxTokens bounds one prompt.
	MaxTokens int `json:"max_tokens"`
	// Copies is the number of engines in each availability zone that are to serve it; zero leaves engines as they are.
	Copies int `json:"copies,omitempty"`
}

// eventLead is how long before its start an event counts, so that its targets are free of long prompts by then.
const eventLeadTime = time.Minute

// Event is a known start of load, such as an outage hour or the opening of a reading room.
type Event struct {
	// Name is unique.
	Name string `json:"name"`
	// Start is when it begins, Length how long it lasts.
	Start  time.Time       `json:"start"`
	Length config.Duration `json:"length"`
	// TokensPerSecond is the expected load of short prompts over the fleet.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Expected returns the tokens a second of short prompts that events bring at a time.
func (bd Bundle) ExpectedTokensPerSecond(now time.Time) float64 {
	sum := 0.0
	for _, ev := range bd.Events {
		if now.After(ev.Start.Add(-eventLeadTime)) && now.Before(ev.Start.Add(ev.Length.Std())) {
			sum += ev.TokensPerSecond
		}
	}
	return sum
}

// KeyDigest returns the digest under which a bearer key stands in a bundle.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse reads a bundle and checks it as a whole.
func Parse(b []byte) (Bundle, error) {
	var bd Bundle
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&bd); err != nil {
		return Bundle{}, config.Faults{{Path: "(document)", Value: err.Error(), Want: "a bundle"}}
	}
	return bd, bd.Check().ErrorOrNil()
}

// Digest returns the digest of the content without its versions: the same content is the same sign-off.
func (bd Bundle) Digest() (string, error) {
	bd.Version, bd.Base = 0, 0
	b, err := json.Marshal(bd)
	if err != nil {
		return "", errors.Wrap(err, "encode bundle")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// WithVersion returns a copy at another version on top of a base.
func (bd Bundle) WithVersion(v, base int64) Bundle {
	bd.Version, bd.Base = v, base
	return bd
}

// Check returns all that is wrong with the bundle.
func (bd Bundle) Check() config.Faults {
	var fs config.Faults
	names := map[string]bool{}
	unique := func(path, name string) {
		if name == "" || names[path+name] {
			fs = append(fs, &config.Fault{Path: path, Value: name, Want: "a name used once"})
		}
		names[path+name] = true
	}
	for _, o := range bd.Organisations {
		unique("organisations.name", o.Name)
		for _, d := range o.KeyDigests {
			if len(d) != 2*sha256.Size {
				fs = append(fs, &config.Fault{Path: "organisations.key_digests", Value: d, Want: "a SHA-256 digest in hex"})
			}
		}
	}
	for _, c := range bd.Classes {
		unique("classes.name", c.Name)
		fs = append(fs, c.check()...)
	}
	for _, m := range bd.Models {
		unique("models.name", m.Name)
	}
	for _, ev := range bd.Events {
		unique("events.name", ev.Name)
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

// FitsStop returns a fault for each class that callers wait on and that may last longer than a planned stop waits.
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

// Class returns the named class; an empty name means the first.
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

// Model returns the named model.
func (bd Bundle) Model(name string) (Model, bool) {
	i := slices.IndexFunc(bd.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return bd.Models[i], true
}
