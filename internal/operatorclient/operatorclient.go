// Package operatorclient provides a client that calls the operators' API of all instances.
package operatorclient

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/duty/operators"
	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/objectstore"
)

const callTimeout = 2 * time.Second

// StatusError is returned if an instance answers with a status other than 200.
type StatusError struct{ Status int }

// Error includes the status.
func (se *StatusError) Error() string { return "instance answered status " + strconv.Itoa(se.Status) }

// Client calls all instances that are registered in the platform's store.
type Client struct {
	store *objectstore.Client
	key   string
}

// New returns a client that authenticates with the operators' key.
func New(store *objectstore.Client, key string) *Client { return &Client{store: store, key: key} }

// Reply is the answer of one instance.
type Reply[T any] struct {
	Instance fleet.Instance
	Value    T
	// Err is set if the call failed, for example because the instance is unreachable or has stopped.
	Err error
}

// Statuses returns the status of every instance.
func (cl *Client) Statuses(ctx context.Context) ([]Reply[operators.Status], error) {
	return queryAll[operators.Status](ctx, cl, http.MethodGet, "/status")
}

// BurnWindows returns the counts of missed objectives of every instance.
func (cl *Client) BurnWindows(ctx context.Context) ([]Reply[[]errorbudget.Window], error) {
	return queryAll[[]errorbudget.Window](ctx, cl, http.MethodGet, "/burn")
}

// Prepare makes every instance fetch and check a pushed bundle, without putting it in force.
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

// maxAnswerBytes bounds the answer of one instance.
const maxAnswerBytes = 16 << 20

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
	return errors.Wrap(boundedread.JSON(resp.Body, maxAnswerBytes, into), "decode answer")
}
