// Package claim ensures that a request with an idempotency key runs at most once across all instances. An instance claims the key
// by creating an object in the platform's store before it sends anything to a target.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/objectstore"
)

// State is the state of the run recorded in a claim.
type State string

// The states of a claim.
const (
	Running State = "running"
	Done    State = "done"
	// Lost is the final state of a run whose result is unknown.
	Lost State = "lost"
)

// maxBodyBytes is the maximum size of a response body recorded in a claim. It is below the store's limit on the size of values.
const maxBodyBytes = 600 << 10

// retryInterval is the pause between two attempts to access the store.
const retryInterval = 50 * time.Millisecond

// Record is the value of a claim object.
type Record struct {
	// Token is unique to one attempt to claim the key. It shows whether the creation took effect when its response was lost.
	Token string `json:"token"`
	// Holder is the incarnation of the instance that runs the request.
	Holder string `json:"holder"`
	// BodyDigest is the digest of the request body. It prevents the use of one key for two different requests.
	BodyDigest string `json:"body"`
	// State is Running until the result is recorded.
	State State `json:"state"`
	// Response is set if State is Done.
	Response *Response `json:"answer,omitempty"`
}

// Response is the recorded response to a request.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the media type of the body.
	ContentType string `json:"content_type"`
	// Body is the complete body, or nil if it was too large to record.
	Body []byte `json:"body"`
	// BodyKept is false if the body was too large to record.
	BodyKept bool `json:"kept"`
}

// Store holds the methods of the platform's client that claims need.
type Store struct {
	Get    func(ctx context.Context, kind, name string) (objectstore.Object, error)
	Create func(ctx context.Context, kind, name string, value any) (int64, error)
	Update func(ctx context.Context, kind, name string, version int64, value any) (int64, error)
	Delete func(ctx context.Context, kind, name string, version int64) error
}

// Claimer claims idempotency keys for one instance.
type Claimer struct {
	store  Store
	holder string
	isLive func(incarnation string) bool
	decode func(objectstore.Object) (Record, error)
}

// New returns a claimer for the instance whose incarnation is holder. isLive reports whether another incarnation is still running.
func New(store Store, holder string, isLive func(incarnation string) bool) *Claimer {
	return &Claimer{store: store, holder: holder, isLive: isLive, decode: decodeRecord}
}

// Claim is the exclusive right of one instance to run the request with an idempotency key.
type Claim struct {
	claimer *Claimer
	name    string
	version int64
	record  Record
}

// ObjectName returns the name of the claim object for an idempotency key of an organisation.
func ObjectName(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// Acquire claims a key. It returns a claim if this instance may run the request, or the recorded response if the request has
// already run. An error means that this call did not run the request; its outcome states what is known about an earlier run.
func (cm *Claimer) Acquire(ctx context.Context, name string, body []byte) (*Claim, *Response, error) {
	sum := sha256.Sum256(body)
	rec := Record{Token: ident.New("claim"), Holder: cm.holder, BodyDigest: hex.EncodeToString(sum[:]), State: Running}
	for {
		version, err := cm.store.Create(ctx, objectstore.KindClaims, name, rec)
		if err == nil {
			return &Claim{claimer: cm, name: name, version: version, record: rec}, nil, nil
		}
		var conflict *objectstore.ConflictError
		var unknown *objectstore.UnknownOutcomeError
		if errors.As(err, &conflict) || errors.As(err, &unknown) {
			cl, resp, resolved, err := cm.resolve(ctx, name, rec)
			if resolved {
				return cl, resp, err
			}
		}
		if err := waitRetryInterval(ctx); err != nil {
			cm.releaseUnconfirmed(name, rec)
			return nil, nil, failure.New(failure.StoreUnavailable, failure.NotRun, "the key could not be claimed in time").
				WithCause(err).WithRetryAfter(time.Second)
		}
	}
}

// resolve reads the claim object back and determines from its token whether this attempt or another one created it. It reports
// false if the object cannot be read or does not exist.
func (cm *Claimer) resolve(ctx context.Context, name string, own Record) (*Claim, *Response, bool, error) {
	o, err := cm.store.Get(ctx, objectstore.KindClaims, name)
	if err != nil {
		return nil, nil, false, nil
	}
	rec, err := cm.decode(o)
	if err != nil {
		return nil, nil, true, failure.New(failure.StoreUnavailable, failure.Unknown, "the claim cannot be read").WithCause(err)
	}
	switch {
	case rec.Token == own.Token:
		return &Claim{claimer: cm, name: name, version: o.Version, record: own}, nil, true, nil
	case rec.BodyDigest != own.BodyDigest:
		return nil, nil, true, failure.New(failure.KeyMismatch, failure.NotRun, "the key was used for another request")
	case rec.State == Done:
		return nil, rec.Response, true, nil
	case rec.State == Running && cm.isLive(rec.Holder):
		return nil, nil, true, failure.New(failure.KeyInUse, failure.Unknown, "a request with this key is running").
			WithRetryAfter(time.Second)
	default:
		return nil, nil, true, failure.New(failure.KeyInUse, failure.Unknown,
			"the instance that ran the request is gone; its result is not known")
	}
}

// releaseUnconfirmed releases a claim, in the background, if its unconfirmed creation took effect. Nothing was sent to a target
// under it.
func (cm *Claimer) releaseUnconfirmed(name string, own Record) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			cl, _, resolved, _ := cm.resolve(ctx, name, own)
			if cl != nil {
				cl.Release(ctx)
				return
			}
			if resolved {
				return
			}
			_ = waitRetryInterval(ctx)
		}
	}()
}

// Release deletes the claim after a request that did not run, so that the key can be used again.
func (cl *Claim) Release(ctx context.Context) {
	cl.retryUntilApplied(ctx, func() error { return cl.claimer.store.Delete(ctx, objectstore.KindClaims, cl.name, cl.version) })
}

// Complete records the response, which is returned to later requests with the key.
func (cl *Claim) Complete(ctx context.Context, resp Response) {
	resp.BodyKept = len(resp.Body) <= maxBodyBytes
	if !resp.BodyKept {
		resp.Body = nil
	}
	rec := cl.record
	rec.State, rec.Response = Done, &resp
	cl.write(ctx, rec)
}

// MarkLost records that the result of the run is unknown.
func (cl *Claim) MarkLost(ctx context.Context) {
	rec := cl.record
	rec.State = Lost
	cl.write(ctx, rec)
}

func (cl *Claim) write(ctx context.Context, rec Record) {
	cl.retryUntilApplied(ctx, func() error {
		_, err := cl.claimer.store.Update(ctx, objectstore.KindClaims, cl.name, cl.version, rec)
		return err
	})
}

// retryUntilApplied retries a write until it is known to have taken effect or ctx ends. Only the holder of the claim writes to
// the object, so a conflict after a lost response means that the write took effect.
func (cl *Claim) retryUntilApplied(ctx context.Context, write func() error) {
	for {
		err := write()
		var conflict *objectstore.ConflictError
		var notFound *objectstore.NotFoundError
		if err == nil || errors.As(err, &conflict) || errors.As(err, &notFound) {
			return
		}
		if waitRetryInterval(ctx) != nil {
			return
		}
	}
}

func waitRetryInterval(ctx context.Context) error {
	select {
	case <-time.After(retryInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
