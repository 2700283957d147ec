// Package pathsim simulates the network path from one instance to its targets: all connections of the instance run through a proxy of
// their own, on which new and open connections can fail independently of those of other instances.
package pathsim

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Behaviour is what happens to connections on a path.
type Behaviour int

// The behaviours. Work is the zero value.
const (
	Work Behaviour = iota
	// Hang answers nothing: a new connection is not established, and an open one transfers nothing.
	Hang
	// Reset refuses new connections and resets open ones.
	Reset
)

// Fault is a failure of a path.
type Fault struct {
	// New applies to connections that are opened during the fault, Open to those that were open at its start.
	New, Open Behaviour
	// Addresses limits the fault to the targets at these addresses; empty for all.
	Addresses []string
}

// affects reports whether the fault applies to connections to an address.
func (ft Fault) affects(address string) bool {
	return len(ft.Addresses) == 0 || slices.Contains(ft.Addresses, address)
}

const (
	// pollInterval is how often a held connection checks whether the fault has ended.
	pollInterval = 2 * time.Millisecond
	// copyBufferBytes is the largest chunk that is forwarded at once.
	copyBufferBytes = 32 << 10
	// prefaceTimeout bounds the wait for the address that follows a new connection to the proxy.
	prefaceTimeout = 10 * time.Second
	// established and refused are the proxy's answers to the address.
	established byte = 'E'
	refused     byte = 'R'
)

// Path is the proxy of one instance. It is safe for concurrent use.
type Path struct {
	ln net.Listener

	mu    sync.Mutex
	fault *Fault
	// conns are the open connections, with the address of their target.
	conns map[*pair]string
	// dials counts the connections that were asked for, and failures those that a fault prevented.
	dials, failures int
	closed          bool
}

// pair is one connection of the instance and its continuation to the target.
type pair struct{ client, target *net.TCPConn }

// Start starts a path without a fault.
func Start() (*Path, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pt := &Path{ln: ln, conns: map[*pair]string{}}
	go pt.accept()
	return pt, nil
}

// Address returns the address of the proxy, for Dial.
func (pt *Path) Address() string { return pt.ln.Addr().String() }

// Close ends the path and resets its connections.
func (pt *Path) Close() {
	closeIgnoringError(pt.ln)
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.closed = true
	for pr := range pt.conns {
		pr.reset()
	}
}

// SetFault starts a fault, which replaces the present one.
func (pt *Path) SetFault(ft Fault) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.fault = &ft
	if ft.Open != Reset {
		return
	}
	for pr, address := range pt.conns {
		if ft.affects(address) {
			pr.reset()
		}
	}
}

// ClearFault ends the present fault.
func (pt *Path) ClearFault() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.fault = nil
}

// Counts returns how many connections the instance asked for, and how many of them a fault prevented.
func (pt *Path) Counts() (dials, failures int) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.dials, pt.failures
}

// behaviour returns what happens now to connections to an address.
func (pt *Path) behaviour(address string, of func(Fault) Behaviour) Behaviour {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if pt.fault == nil || !pt.fault.affects(address) {
		return Work
	}
	return of(*pt.fault)
}

func newConns(ft Fault) Behaviour { return ft.New }

func openConns(ft Fault) Behaviour { return ft.Open }

func (pt *Path) isClosed() bool {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.closed
}

func (pt *Path) accept() {
	for {
		nc, err := pt.ln.Accept()
		if err != nil {
			return // the path was closed
		}
		go pt.serve(nc.(*net.TCPConn))
	}
}

// serve reads the address of the target, connects to it and forwards in both directions.
func (pt *Path) serve(client *net.TCPConn) {
	defer closeIgnoringError(client)
	address, err := readAddress(client)
	if err != nil {
		return
	}
	if !pt.awaitPassage(address) {
		_, _ = client.Write([]byte{refused}) // the dialler may have given up
		return
	}
	nc, err := net.Dial("tcp", address)
	if err != nil {
		_, _ = client.Write([]byte{refused})
		return
	}
	pr := &pair{client: client, target: nc.(*net.TCPConn)}
	if _, err := client.Write([]byte{established}); err != nil {
		pr.reset()
		return
	}
	pt.forward(pr, address)
}

// readAddress reads the line that follows a connection, without reading further.
func readAddress(nc net.Conn) (string, error) {
	if err := nc.SetReadDeadline(time.Now().Add(prefaceTimeout)); err != nil {
		return "", err
	}
	line, err := bufio.NewReaderSize(nc, 1).ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\n"), nc.SetReadDeadline(time.Time{})
}

// awaitPassage waits while new connections to an address hang. It reports false if they are refused.
func (pt *Path) awaitPassage(address string) bool {
	pt.mu.Lock()
	pt.dials++
	if pt.fault != nil && pt.fault.affects(address) && pt.fault.New != Work {
		pt.failures++
	}
	pt.mu.Unlock()
	for pt.behaviour(address, newConns) == Hang && !pt.isClosed() {
		time.Sleep(pollInterval)
	}
	return pt.behaviour(address, newConns) == Work && !pt.isClosed()
}

func (pt *Path) forward(pr *pair, address string) {
	pt.mu.Lock()
	pt.conns[pr] = address
	pt.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { pt.copyDirection(pr, address, pr.client, pr.target) })
	wg.Go(func() { pt.copyDirection(pr, address, pr.target, pr.client) })
	wg.Wait()
	pt.mu.Lock()
	delete(pt.conns, pr)
	pt.mu.Unlock()
	closeIgnoringError(pr.target)
}

// copyDirection forwards the bytes of one direction. It forwards an orderly close after all bytes, and any other end as a reset.
func (pt *Path) copyDirection(pr *pair, address string, from, to *net.TCPConn) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		for pt.behaviour(address, openConns) == Hang && !pt.isClosed() {
			time.Sleep(pollInterval)
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			pr.reset()
			return
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // the other side may have closed too
			return
		}
		if err != nil {
			pr.reset()
			return
		}
	}
}

// closeIgnoringError closes something whose other end may have ended already.
func closeIgnoringError(cl io.Closer) { _ = cl.Close() }

// reset resets both sides. Errors are ignored, since a side may have ended already.
func (pr *pair) reset() {
	for _, tc := range []*net.TCPConn{pr.client, pr.target} {
		_ = tc.SetLinger(0)
		_ = tc.Close()
	}
}

// Dial returns a function that connects to targets through the path with the given address. It has the signature of
// net.Dialer.DialContext and fails as a connection over the simulated network would: by a timeout or a refusal.
func Dial(path string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dl net.Dialer
		nc, err := dl.DialContext(ctx, network, path)
		if err != nil {
			return nil, err
		}
		if err := connect(ctx, nc, address); err != nil {
			closeIgnoringError(nc)
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return nc, nil
	}
}

// connect sends the address of the target and waits until the path has connected to it.
func connect(ctx context.Context, nc net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) }) // a failure means that the connection is closed
	defer stop()
	if _, err := io.WriteString(nc, address+"\n"); err != nil {
		return err
	}
	var b [1]byte
	if _, err := io.ReadFull(nc, b[:]); err != nil {
		if ctx.Err() != nil {
			return os.ErrDeadlineExceeded
		}
		return err
	}
	if b[0] == refused {
		return os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	return nil
}
