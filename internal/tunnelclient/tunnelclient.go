// Package tunnelclient opens connections to targets through peers that reach them.
package tunnelclient

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/sockopt"
	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/tunnelframe"
)

const (
	// maxAsked bounds the peers that are asked for one connection.
	maxAsked = 4
	// nextPeerDelay is how long a peer may take to answer before another is asked as well: several round trips across a region.
	nextPeerDelay = 40 * time.Millisecond
	// minBlames is how many peers must fail to reach a target to take the target as the cause.
	minBlames = 2
	// unusablePeriod is how long a peer is avoided that reaches no target itself or does not answer, busyPeriod one that takes no more
	// tunnels.
	unusablePeriod = time.Second
	busyPeriod     = 200 * time.Millisecond
	// reportPeriod is how long the number of tunnels that a peer reported is used to choose a peer.
	reportPeriod = time.Second
	// replyMargin is the time that a request and its reply take besides the peer's own attempt to connect.
	replyMargin = 100 * time.Millisecond
)

// Peer is an instance that may be asked for a tunnel.
type Peer struct {
	Name string
	// Address is the IP address and port on which the peer takes tunnel requests.
	Address          string
	AvailabilityZone string
	// BandwidthMbps is the peer's share of the network in Mbit/s; zero if unknown.
	BandwidthMbps uint64
	// Stopping is set once the peer takes no new work.
	Stopping bool
}

// Deps are the dependencies of a Client. All fields are required.
type Deps struct {
	// Instance and AvailabilityZone identify this instance.
	Instance, AvailabilityZone string
	// Peers returns the live peers and the version of that list. The list must not be modified.
	Peers func() ([]Peer, uint64)
	// DialTimeout is how long a peer tries to connect to a target.
	DialTimeout time.Duration
	// Liveness detects the loss of a peer.
	Liveness sockopt.Liveness
	Metrics  *metrics.Set
	Now      func() time.Time
}

// Client asks peers for connections to targets. It is safe for concurrent use.
type Client struct {
	Deps
	mu sync.Mutex
	// near and far are the peers of this availability zone and of others, at a version of the list of peers.
	near, far []Peer
	version   uint64
	loaded    bool
	states    map[string]*peerState
}

// peerState is what this instance knows of a peer as a way to the targets.
type peerState struct {
	// open is the number of open tunnels of this instance through the peer, reported that of all instances, at reportedAt.
	open, reported int
	reportedAt     time.Time
	avoidUntil     time.Time
}

// New returns a client.
func New(dp Deps) *Client { return &Client{Deps: dp, states: map[string]*peerState{}} }

// Conn is a connection to a target through a peer.
type Conn struct {
	*net.TCPConn
	peer string
	// frames reads the target's data; nil if an older peer forwards it without frames.
	frames *tunnelframe.Reader
	// onClose is called at each close; nil for none.
	onClose func()
}

// Peer returns the name of the peer.
func (cn *Conn) Peer() string { return cn.peer }

// Read returns io.EOF only if the target has closed its connection. It fails with a tunnel.CutError if the connection to the peer ends
// before, and also if that cannot be told from the end of the target's.
func (cn *Conn) Read(b []byte) (int, error) {
	if cn.frames != nil {
		return cn.frames.Read(b)
	}
	n, err := cn.TCPConn.Read(b)
	if errors.Is(err, io.EOF) {
		err = &tunnel.CutError{Cause: err}
	}
	return n, err
}

// WriteTo reads with Read, unlike the method of the embedded connection.
func (cn *Conn) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, struct{ io.Reader }{cn})
	return n, errors.Wrap(err, "copy from tunnel")
}

// Close closes the connection, upon which the peer closes its connection to the target.
func (cn *Conn) Close() error {
	if cn.onClose != nil {
		cn.onClose()
	}
	return cn.TCPConn.Close()
}

// FailureError means that no peer connected to a target.
type FailureError struct {
	// Blamed is set if peers that reach other targets could not reach this one, Refused if its machine refused the connection.
	Blamed, Refused bool
	// Asked is how many peers were asked, LastOutcome what the last of them answered; empty if none did.
	Asked       int
	LastOutcome tunnel.Outcome
}

// Error says what the peers answered.
func (fe *FailureError) Error() string {
	switch {
	case fe.Blamed:
		return "peers reach no connection either"
	case fe.Asked == 0:
		return "no peer to ask"
	case fe.LastOutcome == "":
		return "no peer answered"
	default:
		return "no peer connected, last outcome " + string(fe.LastOutcome)
	}
}

// Unwrap returns ECONNREFUSED if the target's machine refused the connections of peers.
func (fe *FailureError) Unwrap() error {
	if fe.Blamed && fe.Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// answer is what became of asking one peer.
type answer struct {
	peer  Peer
	reply tunnel.Reply
	conn  *Conn
	err   error
}

// Dial connects to a target through a peer. It asks a second peer while the first has not answered, and at most maxAsked in all. Without
// success it fails with a FailureError.
func (cl *Client) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.DialTimeout+replyMargin+nextPeerDelay)
	defer cancel()
	se := &search{cl: cl, address: address, answers: make(chan answer, maxAsked)}
	defer func() { go closeUnused(se.answers, se.pending) }()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if se.askNext(ctx) {
				next.Reset(nextPeerDelay)
			} else if se.pending == 0 {
				return nil, se.failure()
			}
		case an := <-se.answers:
			if cn := se.take(an); cn != nil {
				return cn, nil
			}
			if se.blames >= minBlames {
				return nil, se.failure()
			}
			next.Reset(0)
		case <-ctx.Done():
			return nil, se.failure()
		}
	}
}

// search is the search for a peer that connects to a target.
type search struct {
	cl      *Client
	address string
	// answers receives the answers of the peers that were asked.
	answers chan answer
	// asked holds the names of these peers, and pending is how many have not answered.
	asked   []string
	pending int
	// blames is how many peers found the target at fault, refused is set if its machine refused the last of them.
	blames      int
	refused     bool
	lastOutcome tunnel.Outcome
}

// askNext asks another peer, and reports false if there is none.
func (se *search) askNext(ctx context.Context) bool {
	if len(se.asked) == maxAsked {
		return false
	}
	pr, ok := se.cl.choose(se.asked)
	if !ok {
		return false
	}
	se.asked = append(se.asked, pr.Name)
	se.pending++
	go func() { se.answers <- se.cl.ask(ctx, pr, se.address) }()
	return true
}

// take takes an answer into account, and returns its connection; nil without one.
func (se *search) take(an answer) *Conn {
	se.pending--
	if an.err != nil {
		return nil
	}
	se.lastOutcome = an.reply.Outcome
	if an.reply.BlamesTarget() {
		se.blames++
		se.refused = an.reply.Outcome == tunnel.Refused
	}
	return an.conn
}

func (se *search) failure() *FailureError {
	return &FailureError{Blamed: se.blames > 0, Refused: se.refused, Asked: len(se.asked), LastOutcome: se.lastOutcome}
}

// closeUnused closes the connections of peers that answer after the search has ended.
func closeUnused(answers <-chan answer, pending int) {
	for range pending {
		if an := <-answers; an.conn != nil {
			_ = an.conn.Close() // the connection was never used
		}
	}
}

// ask asks one peer for a connection.
func (cl *Client) ask(ctx context.Context, pr Peer, address string) answer {
	an := answer{peer: pr}
	nc, err := cl.Liveness.Dialer().DialContext(ctx, "tcp", pr.Address)
	if err == nil {
		an.reply, err = cl.handshake(ctx, nc, address)
	}
	an.err = err
	if err == nil && an.reply.Outcome == tunnel.Connected {
		an.conn = &Conn{TCPConn: nc.(*net.TCPConn), peer: pr.Name, onClose: sync.OnceFunc(func() { cl.addOpen(pr.Name, -1) })}
		if an.reply.Framed {
			an.conn.frames = tunnelframe.NewReader(nc)
		}
		cl.addOpen(pr.Name, 1)
	} else if nc != nil {
		_ = nc.Close() // nothing was sent through it
	}
	// A dial that this instance gave up says nothing about the peer.
	if !errors.Is(ctx.Err(), context.Canceled) {
		cl.record(an)
	}
	return an
}

// handshake sends the request and reads the reply.
func (cl *Client) handshake(ctx context.Context, nc net.Conn, address string) (tunnel.Reply, error) {
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) }) // fails only if the connection is closed
	if _, err := io.WriteString(nc, tunnel.Prefix); err != nil {
		stop()
		return tunnel.Reply{}, errors.Wrap(err, "write prefix")
	}
	rq := tunnel.Request{Address: address, RequestID: tunnel.RequestID(ctx), Instance: cl.Instance, Framed: true}
	if err := tunnel.Write(nc, rq); err != nil {
		stop()
		return tunnel.Reply{}, err
	}
	rp, err := tunnel.Read[tunnel.Reply](nc)
	if !stop() && err == nil {
		// The deadline of the handshake may already have been set on the connection.
		err = ctx.Err()
	}
	return rp, err
}

// record records what an answer tells of its peer.
func (cl *Client) record(an answer) {
	outcome := string(an.reply.Outcome)
	if an.err != nil {
		outcome = "unanswered"
	}
	cl.Metrics.GetOrCreateCounter(`silvermount_tunnels_requested_total{outcome="` + outcome + `"}`).Inc()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	st, now := cl.state(an.peer.Name), cl.Now()
	if an.err != nil {
		st.avoidUntil = now.Add(unusablePeriod)
		return
	}
	st.reported, st.reportedAt = an.reply.Open, now
	switch {
	case an.reply.BlamesTarget():
		st.avoidUntil = time.Time{}
	case an.reply.Outcome == tunnel.Connected, an.reply.Outcome == tunnel.UnknownTarget, an.reply.Outcome == tunnel.NoPath:
		st.avoidUntil = time.Time{}
	case an.reply.Outcome == tunnel.Busy:
		st.avoidUntil = now.Add(busyPeriod)
	default:
		st.avoidUntil = now.Add(unusablePeriod)
	}
}

// Avoid makes the client ask other peers for a while, because a tunnel through this one is silent.
func (cl *Client) Avoid(peer string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.state(peer).avoidUntil = cl.Now().Add(unusablePeriod)
}

// IsUsable reports whether an open tunnel through a peer may carry another request.
func (cl *Client) IsUsable(peer string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.load()
	isPeer := func(pr Peer) bool { return pr.Name == peer }
	if !slices.ContainsFunc(cl.near, isPeer) && !slices.ContainsFunc(cl.far, isPeer) {
		return false
	}
	return cl.isUsable(peer, cl.Now())
}

// OpenCount returns the number of open tunnels of this instance.
func (cl *Client) OpenCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for _, st := range cl.states {
		n += st.open
	}
	return n
}

func (cl *Client) addOpen(peer string, n int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.state(peer).open += n
}

// state returns the state of a peer. The lock is held.
func (cl *Client) state(peer string) *peerState {
	st := cl.states[peer]
	if st == nil {
		st = &peerState{}
		cl.states[peer] = st
	}
	return st
}
