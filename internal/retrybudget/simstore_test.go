package retrybudget_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/retryledger"
)

// simStore is the store of a simulated fleet.
type simStore struct {
	rng     *rand.Rand
	down    bool
	version int64
	pages   map[string]objectstore.Object
	// loseAnswers is the probability that a call is done and its answer lost.
	loseAnswers float64
	calls       int
	maxBytes    int
}

// open returns the store as an instance reaches it. cut reports whether the instance is cut off.
func (ss *simStore) open(cut func() bool) retryledger.Store {
	lost := func() error {
		ss.calls++
		if ss.down || cut() {
			return &objectstore.UnavailableError{Cause: context.DeadlineExceeded}
		}
		return nil
	}
	return retryledger.Store{
		Get: func(_ context.Context, service string) (objectstore.Object, error) {
			if err := lost(); err != nil {
				return objectstore.Object{}, err
			}
			ob, ok := ss.pages[service]
			if !ok {
				return ob, &objectstore.NotFoundError{Name: service}
			}
			return ob, nil
		},
		List: func(context.Context) (objectstore.Listing, error) {
			if err := lost(); err != nil {
				return objectstore.Listing{}, err
			}
			var l objectstore.Listing
			for _, ob := range ss.pages {
				l.Items = append(l.Items, ob)
			}
			return l, nil
		},
		Write: func(_ context.Context, service string, version int64, value json.RawMessage) (objectstore.Object, error) {
			if err := lost(); err != nil {
				return objectstore.Object{}, err
			}
			if ob := ss.pages[service]; ob.Version != version {
				return ob, &objectstore.ConflictError{Name: service}
			}
			ss.version++
			ss.maxBytes = max(ss.maxBytes, len(value))
			ss.pages[service] = objectstore.Object{Name: service, Version: ss.version, Value: value}
			if ss.rng.Float64() < ss.loseAnswers {
				return objectstore.Object{}, &objectstore.UnknownOutcomeError{Cause: context.DeadlineExceeded}
			}
			return ss.pages[service], nil
		},
	}
}
