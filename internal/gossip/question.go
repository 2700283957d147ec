package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
)

const (
	// restMost is how long a connection rests between two questions: below the time after which the other side closes it.
	restMost = time.Second
	// maxResting bounds the connections that rest, to all members together.
	maxResting = 64
)

// Ask puts a question under a name to a member: over the link to it, if there is one, else over a connection that then rests for the next
// question. Answers are small, and come within a round trip.
func (ms *Mesh) Query(ctx context.Context, m Member, name string, question []byte) ([]byte, error) {
	rq := request{Name: name, Body: question}
	doc, err := ms.put(ctx, m, rq)
	if err != nil {
		return nil, err
	}
	if !doc.Found {
		return nil, &NotFoundError{Instance: m.Name, Document: name}
	}
	return doc.Body, nil
}

func (ms *Mesh) put(ctx context.Context, m Member, rq request) (document, error) {
	ms.mu.Lock()
	lk := ms.linkTo(m)
	ms.mu.Unlock()
	if lk != nil {
		return lk.ask(ctx, rq)
	}
	now := ms.opts.Now()
	conn := ms.resting.take(m.Address, now)
	if conn == nil {
		var err error
		conn, _, err = dial(ctx, m.Address)
		if err != nil {
			return document{}, err
		}
	}
	var doc document
	if err := conn.Invoke(ctx, fetchRPC, encoding{}, &rq, &doc); err != nil {
		conn.Close()
		return document{}, errors.Wrap(err, "put question")
	}
	ms.resting.rest(m.Address, conn, now)
	return doc, nil
}

// restingConn is a connection without a question under way.
type restingConn struct {
	*drpcconn.Conn
	since time.Time
}

// restingConns are connections over which the next question is put.
type restingConns struct {
	mu        sync.Mutex
	byAddress map[string][]restingConn
	count     int
}

func newRestingConns() *restingConns { return &restingConns{byAddress: map[string][]restingConn{}} }

// take returns the connection to an address that was used last; nil when there is none.
func (rc *restingConns) take(address string, now time.Time) *drpcconn.Conn {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sweep(now)
	list := rc.byAddress[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1].Conn
	rc.byAddress[address] = list[:len(list)-1]
	rc.count--
	return conn
}

// rest keeps a connection, or closes it when there are too many.
func (rc *restingConns) rest(address string, conn *drpcconn.Conn, now time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sweep(now)
	if rc.count >= maxResting {
		conn.Close()
		return
	}
	rc.byAddress[address] = append(rc.byAddress[address], restingConn{Conn: conn, since: now})
	rc.count++
}

// sweep closes connections that have rested for too long. The lock is held.
func (rc *restingConns) sweep(now time.Time) {
	for address, list := range rc.byAddress {
		old := 0
		for old < len(list) && now.Sub(list[old].since) >= restMost {
			list[old].Close()
			old++
		}
		rc.count -= old
		rc.byAddress[address] = list[old:]
		if old == len(list) {
			delete(rc.byAddress, address)
		}
	}
}

// closeAll closes all connections that rest.
func (rc *restingConns) closeAll() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sweep(time.Now().Add(2 * restMost))
}

// Known returns how many instances live by what this one hears, itself among them, and how many it knew within the last minute; those that
// said farewell are left out of both.
func (ms *Mesh) MemberCounts() (live, known int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	live, known = 1, 1
	for _, r := range ms.records {
		if r.Stopping {
			continue
		}
		known++
		if r.live {
			live++
		}
	}
	return live, known
}
