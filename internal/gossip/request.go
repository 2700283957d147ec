package gossip

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxStreamRequests bounds the outstanding requests on one link, per direction. Documents are few and rarely change.
const maxStreamRequests = 16

// call sends a request to the peer over the link and waits for the response.
func (lk *link) call(ctx context.Context, rq request) (response, error) {
	ch := make(chan response, 1)
	id, err := lk.enqueue(rq, ch)
	if err != nil {
		return response{}, err
	}
	defer lk.removeWaiter(id)
	lk.wakeUp()
	select {
	case rs := <-ch:
		return rs, nil
	case <-lk.done:
		return response{}, &LinkError{Instance: lk.peerName(), Reason: "ended"}
	case <-ctx.Done():
		return response{}, errors.Wrap(ctx.Err(), "wait for response")
	}
}

func (lk *link) peerName() string {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	return lk.peer.Name
}

func (lk *link) enqueue(rq request, ch chan response) (uint64, error) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	if len(lk.waiters) >= maxStreamRequests || len(lk.requestQueue) >= maxStreamRequests {
		return 0, &LinkError{Instance: lk.peer.Name, Reason: "has too many open requests"}
	}
	lk.lastRequestID++
	lk.waiters[lk.lastRequestID] = ch
	lk.requestQueue = append(lk.requestQueue, streamRequest{ID: lk.lastRequestID, request: rq})
	return lk.lastRequestID, nil
}

func (lk *link) removeWaiter(id uint64) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	delete(lk.waiters, id)
}

// serveRequests handles the peer's requests and queues the responses. Responses beyond maxStreamRequests are dropped; the
// peer's call then ends with its context.
func (lk *link) serveRequests(requests []streamRequest) {
	for _, sr := range requests {
		rs := lk.ms.handleRequest(&sr.request)
		lk.ms.mu.Lock()
		if len(lk.responseQueue) < maxStreamRequests {
			lk.responseQueue = append(lk.responseQueue, streamResponse{ID: sr.ID, response: *rs})
		}
		lk.ms.mu.Unlock()
		lk.wakeUp()
	}
}

func (lk *link) deliverResponses(responses []streamResponse) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	for _, sr := range responses {
		ch, ok := lk.waiters[sr.ID]
		if !ok {
			// The caller has already returned.
			continue
		}
		delete(lk.waiters, sr.ID)
		ch <- sr.response
	}
}
