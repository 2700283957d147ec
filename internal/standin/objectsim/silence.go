package objectsim

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableListener accepts connections that can be silenced.
type silenceableListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*silenceableConn]struct{}
}

// Accept implements net.Listener.
func (sl *silenceableListener) Accept() (net.Conn, error) {
	nc, err := sl.Listener.Accept()
	tc, ok := nc.(*net.TCPConn)
	if err != nil || !ok {
		return nc, err
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sc := &silenceableConn{Conn: tc, tcp: tc, listener: sl}
	sl.open[sc] = struct{}{}
	return sc, nil
}

// silence silences all open connections.
func (sl *silenceableListener) silence() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	for sc := range sl.open {
		sc.silent.Store(true)
	}
}

// silenceableConn is a connection that drops what it gets in both directions once it is silent.
type silenceableConn struct {
	// Conn is tcp without the methods that bypass Read and Write.
	net.Conn
	tcp      *net.TCPConn
	listener *silenceableListener
	silent   atomic.Bool
}

// Read implements net.Conn.
func (sc *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := sc.tcp.Read(b)
		if err != nil || !sc.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (sc *silenceableConn) Write(b []byte) (int, error) {
	if sc.silent.Load() {
		return len(b), nil
	}
	return sc.tcp.Write(b)
}

// Close implements net.Conn.
func (sc *silenceableConn) Close() error {
	sc.listener.mu.Lock()
	delete(sc.listener.open, sc)
	sc.listener.mu.Unlock()
	return sc.tcp.Close()
}
