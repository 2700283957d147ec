// Package ops asks instances for what operators want to see.
package ops

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/burn"
	"github.com/silvermount/silvermount/internal/duty/operators"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/objectstore"
)

const callTimeout = 2 * time.Second

// StatusError is an answer other than 200.
type StatusError struct{ Status int }

// Error gives the status.
func (se *StatusError) Error() string { return "instance answered status " + strconv.Itoa(se.Status) }

// Client asks all instances that the platform lists.
type Client struct {
	store *objectstore.Client
	key   string
}

// New returns a client that presents the operators' key.
func New(store *objectstore.Client, key string) *Client { return &Client{store: store, key: key} }

// Reply is what one instance answered.
type Reply[T any] struct {
	Instance fleet.Instance
	Value    T
	// Err is set when the instance could not be asked: it may be cut off, or gone.
	Err error
}

// Statuses asks every instance for its status.
func (cl *Client) Statuses(ctx context.Context) ([]Reply[operators.Status], error) {
	return queryAll[operators.Status](ctx, cl, http.MethodGet, "/status")
}

// Burn asks every instance for its counts.
func (cl *Client) BurnWindows(ctx context.Context) ([]Reply[[]burn.Window], error) {
	return queryAll[[]burn.Window](ctx, cl, http.MethodGet, "/burn")
}

// Prepare asks every instance to fetch and check a pushed bundle, without putting it in force.
func (cl *Client) Prepare(ctx context.Context, version int64) ([]Reply[operators.PrepareResult], error) {
	return queryAll[operators.PrepareResult](ctx, cl, http.MethodPost, "/prepare/"+strconv.FormatInt(version, 10))
}

func queryAll[T any](ctx context.Context, cl *Client, method, path string) ([]Reply[T], error) {
	l, err := cl.store.List(ctx, objectstore.KindInstances)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	replies := make([]Reply[T], len(l.Items))
	var wg sync.WaitGroup
	for i, o := range l.Items {
		wg.Go(func() {
			rp := &replies[i]
			if rp.Err = json.Unmarshal(o.Value, &rp.Instance); rp.Err == nil {
				rp.Err = cl.query(ctx, method, "http://"+rp.Instance.OperatorsAddress+path, &rp.Value)
			}
		})
	}
	wg.Wait()
	return replies, nil
}

func (cl *Client) query(ctx context.Context, method, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+cl.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask instance")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode answer")
}
