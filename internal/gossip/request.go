package gossip

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxAsks bounds the documents asked for at once on one link. Documents are few and change seldom.
const maxStreamRequests = 16

// ask asks the peer for a document over the link.
func (lk *link) call(ctx context.Context, rq request) (response, error) {
	ch := make(chan response, 1)
	id, err := lk.enqueue(rq, ch)
	if err != nil {
		return response{}, err
	}
	defer lk.removeWaiter(id)
	lk.wakeUp()
	select {
	case doc := <-ch:
		return doc, nil
	case <-lk.done:
		return response{}, &LinkError{Instance: lk.peerName(), Reason: "ended"}
	case <-ctx.Done():
		return response{}, errors.Wrap(ctx.Err(), "wait for document")
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
		return 0, &LinkError{Instance: lk.peer.Name, Reason: "has too many open asks"}
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

// answer looks up the documents that the peer asks for. Those beyond maxAsks get no answer; the peer's wait then ends
// by its context.
func (lk *link) serveRequests(asks []streamRequest) {
	for _, a := range asks {
		doc := lk.ms.handleRequest(&a.request)
		lk.ms.mu.Lock()
		if len(lk.responseQueue) < maxStreamRequests {
			lk.responseQueue = append(lk.responseQueue, streamResponse{ID: a.ID, response: *doc})
		}
		lk.ms.mu.Unlock()
		lk.wakeUp()
	}
}

func (lk *link) deliverResponses(answers []streamResponse) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	for _, a := range answers {
		ch, ok := lk.waiters[a.ID]
		if !ok {
			// Who asked has given up.
			continue
		}
		delete(lk.waiters, a.ID)
		ch <- a.response
	}
}
