package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
)

const (
	// maxIdleTime is how long a connection is kept between two queries: less than the time after which the peer closes it.
	maxIdleTime = time.Second
	// maxIdleConns bounds the number of idle connections to all members together.
	maxIdleConns = 64
)

// Query sends a query of the given name to a member and returns the response. It uses the link to the member if there is one,
// else a pooled connection. Responses are small and arrive within a round trip.
func (ms *Mesh) Query(ctx context.Context, m Member, name string, query []byte) ([]byte, error) {
	rq := request{Name: name, Body: query}
	rs, err := ms.sendQuery(ctx, m, rq)
	if err != nil {
		return nil, err
	}
	if !rs.Found {
		return nil, &NotFoundError{Instance: m.Name, Document: name}
	}
	return rs.Body, nil
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
	var rs response
	if err := conn.Invoke(ctx, fetchRPC, encoding{}, &rq, &rs); err != nil {
		conn.Close()
		return response{}, errors.Wrap(err, "send query")
	}
	ms.queryConns.put(m.Address, conn, now)
	return rs, nil
}

// idleConn is a connection without a query in flight.
type idleConn struct {
	*drpcconn.Conn
	idleSince time.Time
}

// connPool holds the idle connections for queries.
type connPool struct {
	mu        sync.Mutex
	byAddress map[string][]idleConn
	count     int
}

func newConnPool() *connPool { return &connPool{byAddress: map[string][]idleConn{}} }

// get returns the most recently used idle connection to an address; nil if there is none.
func (cp *connPool) get(address string, now time.Time) *drpcconn.Conn {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.closeExpired(now)
	conns := cp.byAddress[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1].Conn
	cp.byAddress[address] = conns[:len(conns)-1]
	cp.count--
	return conn
}

// put returns a connection to the pool, or closes it if the pool is full.
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

// closeExpired closes the connections that have been idle for maxIdleTime. The lock is held.
func (cp *connPool) closeExpired(now time.Time) {
	for address, conns := range cp.byAddress {
		expired := 0
		for expired < len(conns) && now.Sub(conns[expired].idleSince) >= maxIdleTime {
			conns[expired].Close()
			expired++
		}
		cp.count -= expired
		cp.byAddress[address] = conns[expired:]
		if expired == len(conns) {
			delete(cp.byAddress, address)
		}
	}
}

// closeAll closes all idle connections.
func (cp *connPool) closeAll() {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.closeExpired(time.Now().Add(2 * maxIdleTime))
}

// MemberCounts returns the number of live members and of those known within the last minute, including this instance. Members
// that are stopping count in neither.
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
