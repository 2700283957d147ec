// Package tunnel defines how an instance asks a peer to connect it to a target. The peer answers once it has connected or cannot, and then
// forwards all bytes in both directions, those from the target in frames of package tunnelframe.
package tunnel

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Prefix is what a connection to a peer begins with if it asks for a tunnel. Every other connection belongs to the gossip between peers.
const Prefix = "SMTUNNEL"

// maxMessageBytes bounds a request and a reply.
const maxMessageBytes = 4 << 10

// Request asks for a connection to a target.
type Request struct {
	// Address is the IP address and port of the target.
	Address string `json:"address"`
	// RequestID is the id of the caller's request that needs the connection; empty for a probe.
	RequestID string `json:"request,omitempty"`
	// Instance is the name of the instance that asks.
	Instance string `json:"instance"`
	// Framed asks for the target's data in frames of package tunnelframe. An older peer ignores it.
	Framed bool `json:"framed,omitempty"`
}

// Outcome is the outcome of a Request.
type Outcome string

// The outcomes. After Connected, the connection belongs to the target. After all others, nothing was sent to the target.
const (
	Connected Outcome = "connected"
	// Refused means that the target's machine refused the connection, Failed that it did not answer.
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// CutOff means that the peer reaches no target itself, NoPath that it does not reach this one although others do.
	CutOff Outcome = "cut_off"
	NoPath Outcome = "no_path"
	// Busy means that the peer forwards as many connections as it may.
	Busy Outcome = "busy"
	// Stopping means that the peer is stopping.
	Stopping Outcome = "stopping"
	// UnknownTarget means that the peer knows no target at this address.
	UnknownTarget Outcome = "unknown_target"
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	// SignAgeMS is the time in milliseconds since any target last accepted a connection from the peer or answered it; negative if none
	// has.
	SignAgeMS int64 `json:"sign_age_ms"`
	// Open is how many connections the peer forwards.
	Open int `json:"open"`
	// Framed is set if the target's data comes in frames.
	Framed bool `json:"framed,omitempty"`
}

// maxSignAge is the age of the peer's last contact with a target up to which its failure to connect counts against the target.
const maxSignAge = time.Second

// BlamesTarget reports whether the reply is evidence that the target accepts no connections: its machine refused one, or did not answer
// a peer that lately reached others.
func (rp Reply) BlamesTarget() bool {
	switch rp.Outcome {
	case Refused:
		return true
	case Failed:
		return rp.SignAgeMS >= 0 && rp.SignAgeMS <= maxSignAge.Milliseconds()
	default:
		return false
	}
}

// CutError means that a tunnel ended before the target's connection did. It says nothing about the target.
type CutError struct{ Cause error }

// Error includes the cause.
func (ce *CutError) Error() string { return "tunnel cut at the peer: " + ce.Cause.Error() }

// Unwrap returns io.ErrUnexpectedEOF, since what was received is incomplete.
func (*CutError) Unwrap() error { return io.ErrUnexpectedEOF }

// TooLargeError means that a message exceeds the maximum size.
type TooLargeError struct{ Bytes int }

// Error includes the size.
func (te *TooLargeError) Error() string { return "message of " + strconv.Itoa(te.Bytes) + " bytes" }

// Write writes a Request or a Reply.
func Write[T Request | Reply](w io.Writer, message T) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode tunnel message")
	}
	if len(body) > maxMessageBytes {
		return &TooLargeError{Bytes: len(body)}
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	_, err = w.Write(append(b, body...))
	return errors.Wrap(err, "write tunnel message")
}

// Read reads a Request or a Reply, and nothing of what follows it.
func Read[T Request | Reply](r io.Reader) (T, error) {
	var message T
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message, errors.Wrap(err, "read tunnel message")
	}
	size := int(binary.BigEndian.Uint16(head[:]))
	if size > maxMessageBytes {
		return message, &TooLargeError{Bytes: size}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return message, errors.Wrap(err, "read tunnel message")
	}
	return message, errors.Wrap(json.Unmarshal(body, &message), "decode tunnel message")
}

type requestIDKey struct{}

// WithRequestID returns a context whose connections are logged with the id of a caller's request.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the id set by WithRequestID; empty without one.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
