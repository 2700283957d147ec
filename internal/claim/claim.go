// Package claim makes a request with an idempotency key run at most once over all instances, by an object in the
// platform's store that is created before anything is sent to a target.
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

// State is what a claim says about its run.
type State string

// The states of a claim.
const (
	Running State = "running"
	Done    State = "done"
	// Lost is the state of a run whose result is not known, for good.
	Lost State = "lost"
)

// maxRecorded is the largest answer kept with a claim, below the store's bound on values.
const maxRecorded = 600 << 10

// retryEvery is the pause between two tries of a write.
const retryEvery = 50 * time.Millisecond

// Record is the value of a claim object.
type Record struct {
	// Token is unique to one attempt to claim: it settles whether a write with a lost answer took effect.
	Token string `json:"token"`
	// Holder is the incarnation of the instance that runs the request.
	Holder string `json:"holder"`
	// Body is the digest of the request, so that a key is not used for two requests.
	BodyDigest string `json:"body"`
	// State is Running until the result is recorded.
	State State `json:"state"`
	// Answer is set when State is Done.
	Response *Response `json:"answer,omitempty"`
}

// Answer is a recorded answer.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is that of the body.
	ContentType string `json:"content_type"`
	// Body is whole, or nil when it was too large to keep.
	Body []byte `json:"body"`
	// Kept is false when the body was too large.
	BodyKept bool `json:"kept"`
}

// Store is the part of the platform's client that claims need.
type Store struct {
	Get    func(ctx context.Context, kind, name string) (objectstore.Object, error)
	Create func(ctx context.Context, kind, name string, value any) (int64, error)
	Update func(ctx context.Context, kind, name string, version int64, value any) (int64, error)
	Delete func(ctx context.Context, kind, name string, version int64) error
}

// Claims makes claims for one instance.
type Claimer struct {
	store  Store
	holder string
	live   func(incarnation string) bool
	decode func(objectstore.Object) (Record, error)
}

// New returns the claims of the instance with the given incarnation. live tells whether another one still runs.
func New(store Store, holder string, live func(incarnation string) bool) *Claimer {
	return &Claimer{store: store, holder: holder, live: live, decode: decodeRecord}
}

// Claim is held by the one instance that runs the request.
type Claim struct {
	cs      *Claimer
	name    string
	version int64
	record  Record
}

// Name returns the object name for an organisation's key.
func ObjectName(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// Take claims a key. It returns the claim when this instance may run the request, or the recorded answer when it
// ran before. Any error means that this call ran nothing; its outcome tells what is known of an earlier run.
func (cs *Claimer) Acquire(ctx context.Context, name string, body []byte) (*Claim, *Response, error) {
	sum := sha256.Sum256(body)
	rec := Record{Token: ident.New("claim"), Holder: cs.holder, BodyDigest: hex.EncodeToString(sum[:]), State: Running}
	for {
		version, err := cs.store.Create(ctx, objectstore.KindClaims, name, rec)
		if err == nil {
			return &Claim{cs: cs, name: name, version: version, record: rec}, nil, nil
		}
		var conflict *objectstore.ConflictError
		var unknown *objectstore.UnknownError
		if errors.As(err, &conflict) || errors.As(err, &unknown) {
			cl, ans, settled, err := cs.settle(ctx, name, rec)
			if settled {
				return cl, ans, err
			}
		}
		if err := pause(ctx); err != nil {
			cs.abandon(name, rec)
			return nil, nil, failure.New(failure.StoreUnavailable, failure.NotRun, "the key could not be claimed in time").
				WithCause(err).WithRetryAfter(time.Second)
		}
	}
}

// settle reads a claim back and decides by its token whose it is.
func (cs *Claimer) settle(ctx context.Context, name string, mine Record) (*Claim, *Response, bool, error) {
	o, err := cs.store.Get(ctx, objectstore.KindClaims, name)
	if err != nil {
		return nil, nil, false, nil
	}
	rec, err := cs.decode(o)
	if err != nil {
		return nil, nil, true, failure.New(failure.StoreUnavailable, failure.Unknown, "the claim cannot be read").WithCause(err)
	}
	switch {
	case rec.Token == mine.Token:
		return &Claim{cs: cs, name: name, version: o.Version, record: mine}, nil, true, nil
	case rec.BodyDigest != mine.BodyDigest:
		return nil, nil, true, failure.New(failure.KeyMismatch, failure.NotRun, "the key was used for another request")
	case rec.State == Done:
		return nil, rec.Response, true, nil
	case rec.State == Running && cs.live(rec.Holder):
		return nil, nil, true, failure.New(failure.KeyInUse, failure.Unknown, "a request with this key is running").
			WithRetryAfter(time.Second)
	default:
		return nil, nil, true, failure.New(failure.KeyInUse, failure.Unknown,
			"the instance that ran the request is gone; its result is not known")
	}
}

// abandon takes back a claim whose creation was never answered. Nothing was sent for it.
func (cs *Claimer) abandon(name string, mine Record) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			cl, _, settled, _ := cs.settle(ctx, name, mine)
			if cl != nil {
				cl.Release(ctx)
				return
			}
			if settled {
				return
			}
			_ = pause(ctx)
		}
	}()
}

// Release gives the key back after a request of which nothing was run.
func (cm *Claim) Release(ctx context.Context) {
	cm.repeat(ctx, func() error { return cm.cs.store.Delete(ctx, objectstore.KindClaims, cm.name, cm.version) })
}

// Finish records the answer for those who ask again.
func (cm *Claim) Complete(ctx context.Context, ans Response) {
	ans.BodyKept = len(ans.Body) <= maxRecorded
	if !ans.BodyKept {
		ans.Body = nil
	}
	rec := cm.record
	rec.State, rec.Response = Done, &ans
	cm.write(ctx, rec)
}

// Lose records that the result is not known.
func (cm *Claim) MarkLost(ctx context.Context) {
	rec := cm.record
	rec.State = Lost
	cm.write(ctx, rec)
}

func (cm *Claim) write(ctx context.Context, rec Record) {
	cm.repeat(ctx, func() error {
		_, err := cm.cs.store.Update(ctx, objectstore.KindClaims, cm.name, cm.version, rec)
		return err
	})
}

// repeat tries a write until it is known to have taken effect. Only this claim's holder writes to the object, so
// that a conflict after a lost answer means that the write took effect.
func (cm *Claim) repeat(ctx context.Context, write func() error) {
	for {
		err := write()
		var conflict *objectstore.ConflictError
		var gone *objectstore.NotFoundError
		if err == nil || errors.As(err, &conflict) || errors.As(err, &gone) {
			return
		}
		if pause(ctx) != nil {
			return
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(retryEvery):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
