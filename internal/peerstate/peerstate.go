// Package peerstate is what an instance of a gateway tells the others about itself.
package peerstate

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/placement"
)

// State is one instance's state. It does not change.
type State struct {
	// Configuration is the version in force; zero for none.
	Configuration int64 `json:"c,omitempty"`
	// ProofAge is the age of the newest proof that this version is the newest, when the state was made.
	ProofAge time.Duration `json:"p,omitempty"`
	// Leaving are incarnations of targets that take no new work.
	Leaving []string `json:"l,omitempty"`
	// Loads is what the instance has in flight, by incarnation of the target; empty loads are left out.
	Loads map[string]placement.Load `json:"f,omitempty"`
}

// Encode returns the bytes that peers get.
func (st State) Encode() ([]byte, error) {
	b, err := json.Marshal(st)
	return b, errors.Wrap(err, "encode state")
}

// Decode reads a peer's state.
func Decode(b []byte) (State, error) {
	var st State
	err := json.Unmarshal(b, &st)
	return st, errors.Wrap(err, "decode state")
}
