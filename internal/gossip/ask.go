package gossip

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxAsks bounds the documents asked for at once on one link. Documents are few and change seldom.
const maxAsks = 16

// ask asks the peer for a document over the link.
func (lk *link) ask(ctx context.Context, rq request) (document, error) {
	ch := make(chan document, 1)
	id, err := lk.enqueue(rq, ch)
	if err != nil {
		return document{}, err
	}
	defer lk.forget(id)
	lk.wakeUp()
	select {
	case doc := <-ch:
		return doc, nil
	case <-lk.done:
		return document{}, &LinkError{Instance: lk.name(), Reason: "ended"}
	case <-ctx.Done():
		return document{}, errors.Wrap(ctx.Err(), "wait for document")
	}
}

func (lk *link) name() string {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	return lk.peer.Name
}

func (lk *link) enqueue(rq request, ch chan document) (uint64, error) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	if len(lk.waiting) >= maxAsks || len(lk.asks) >= maxAsks {
		return 0, &LinkError{Instance: lk.peer.Name, Reason: "has too many open asks"}
	}
	lk.lastAsk++
	lk.waiting[lk.lastAsk] = ch
	lk.asks = append(lk.asks, ask{ID: lk.lastAsk, request: rq})
	return lk.lastAsk, nil
}

func (lk *link) forget(id uint64) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	delete(lk.waiting, id)
}

// answer looks up the documents that the peer asks for. Those beyond maxAsks get no answer; the peer's wait then ends
// by its context.
func (lk *link) answer(asks []ask) {
	for _, a := range asks {
		doc := lk.ms.serveDocument(&a.request)
		lk.ms.mu.Lock()
		if len(lk.answers) < maxAsks {
			lk.answers = append(lk.answers, answer{ID: a.ID, document: *doc})
		}
		lk.ms.mu.Unlock()
		lk.wakeUp()
	}
}

func (lk *link) takeAnswers(answers []answer) {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	for _, a := range answers {
		ch, ok := lk.waiting[a.ID]
		if !ok {
			// Who asked has given up.
			continue
		}
		delete(lk.waiting, a.ID)
		ch <- a.document
	}
}
