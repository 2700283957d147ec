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
	maxIdleTime = time.Second
	// maxResting bounds the connections that rest, to all members together.
	maxIdleConns = 64
)

// Ask puts a question under a name to a member: over the link to it, if there is one, else over a connection that then rests for the next
// question. Answers are small, and come within a round trip.
func (ms *Mesh) Query(ctx context.Context, m Member, name string, question []byte) ([]byte, error) {
	rq := request{Name: name, Body: question}
	doc, err := ms.sendQuery(ctx, m, rq)
	if err != nil {
		return nil, err
	}
	if !doc.Found {
		return nil, &NotFoundError{Instance: m.Name, Document: name}
	}
	return doc.Body, nil
}

func (ms *Mesh) sendQuery(ctx context.Context, m Member, rq request) (response, error) {
	ms.mu.Lock()
	lk := ms.linkTo(m)
	ms.mu.Unlock()
	if lk != nil {
		return lk.call(ctx, rq)
	}
	now := ms.opts.Now()
	conn := ms.queryConns.get(m.Address, now)
	if conn == nil {
		var err error
		conn, _, err = dial(ctx, m.Address)
		if err != nil {
			return response{}, err
		}
	}
	var doc response
	if err := conn.Invoke(ctx, fetchRPC, encoding{}, &rq, &doc); err != nil {
		conn.Close()
		return response{}, errors.Wrap(err, "put question")
	}
	ms.queryConns.put(m.Address, conn, now)
	return doc, nil
}

// restingConn is a connection without a question under way.
type idleConn struct {
	*drpcconn.Conn
	idleSince time.Time
}

// restingConns are connections over which the next question is put.
type connPool struct {
	mu        sync.Mutex
	byAddress map[string][]idleConn
	count     int
}

func newConnPool() *connPool { return &connPool{byAddress: map[string][]idleConn{}} }

// take returns the connection to an address that was used last; nil when there is none.
func (cp *connPool) get(address string, now time.Time) *drpcconn.Conn {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.closeExpired(now)
	list := cp.byAddress[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1].Conn
	cp.byAddress[address] = list[:len(list)-1]
	cp.count--
	return conn
}

// rest keeps a connection, or closes it when there are too many.
func (cp *connPool) put(address string, conn *drpcconn.Conn, now time.Time) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.closeExpired(now)
	if cp.count >= maxIdleConns {
		conn.Close()
		return
	}
	cp.byAddress[address] = append(cp.byAddress[address], idleConn{Conn: conn, idleSince: now})
	cp.count++
}

// sweep closes connections that have rested for too long. The lock is held.
func (cp *connPool) closeExpired(now time.Time) {
	for address, list := range cp.byAddress {
		old := 0
		for old < len(list) && now.Sub(list[old].idleSince) >= maxIdleTime {
			list[old].Close()
			old++
		}
		cp.count -= old
		cp.byAddress[address] = list[old:]
		if old == len(list) {
			delete(cp.byAddress, address)
		}
	}
}

// closeAll closes all connections that rest.
func (cp *connPool) closeAll() {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.closeExpired(time.Now().Add(2 * maxIdleTime))
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
