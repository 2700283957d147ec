// Package tunnelclient opens connections to targets through peers that reach them.
package tunnelclient

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/sockopt"
	"github.com/silvermount/silvermount/internal/tunnel"
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
	// onClose is called at each close; nil for none.
	onClose func()
}

// Peer returns the name of the peer.
func (cn *Conn) Peer() string { return cn.peer }

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
	answers := make(chan answer, maxAsked)
	fe := &FailureError{}
	var asked []string
	blames, pending := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			pr, ok := cl.choose(asked)
			if !ok || len(asked) == maxAsked {
				if pending == 0 {
					fe.Blamed = blames > 0
					return nil, fe
				}
				continue
			}
			asked = append(asked, pr.Name)
			fe.Asked++
			pending++
			go func() { answers <- cl.ask(ctx, pr, address) }()
			next.Reset(nextPeerDelay)
		case an := <-answers:
			pending--
			if an.err == nil && an.conn != nil {
				go closeOthers(answers, pending)
				return an.conn, nil
			}
			if an.err == nil {
				fe.LastOutcome = an.reply.Outcome
				if an.reply.BlamesTarget() {
					blames++
					fe.Refused = an.reply.Outcome == tunnel.Refused
				}
			}
			if blames >= minBlames {
				fe.Blamed = true
				go closeOthers(answers, pending)
				return nil, fe
			}
			next.Reset(0)
		case <-ctx.Done():
			fe.Blamed = blames > 0
			go closeOthers(answers, pending)
			return nil, fe
		}
	}
}

// closeOthers closes the connections of peers whose answers are no longer needed.
func closeOthers(answers <-chan answer, pending int) {
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
	rq := tunnel.Request{Address: address, RequestID: tunnel.RequestID(ctx), Instance: cl.Instance}
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

// choose returns the next peer to ask, and false if there is none. It takes this availability zone and the others in turn, since a whole
// zone may be cut off, and of two random peers the one that forwards less for its bandwidth.
func (cl *Client) choose(asked []string) (Peer, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.load()
	groups := [][]Peer{cl.near, cl.far}
	if len(asked)%2 == 1 {
		slices.Reverse(groups)
	}
	for _, group := range groups {
		if pr, ok := cl.chooseFrom(group, asked); ok {
			return pr, true
		}
	}
	return Peer{}, false
}

// load updates the list of peers. The lock is held.
func (cl *Client) load() {
	peers, version := cl.Peers()
	if cl.loaded && version == cl.version {
		return
	}
	cl.loaded, cl.version = true, version
	cl.near, cl.far = nil, nil
	live := map[string]bool{}
	for _, pr := range peers {
		live[pr.Name] = true
		switch {
		case pr.Name == cl.Instance || pr.Stopping:
		case pr.AvailabilityZone == cl.AvailabilityZone:
			cl.near = append(cl.near, pr)
		default:
			cl.far = append(cl.far, pr)
		}
	}
	for name, st := range cl.states {
		if !live[name] && st.open == 0 {
			delete(cl.states, name)
		}
	}
}

const (
	// choices is how many usable peers are compared for each choice.
	choices = 2
	// maxDraws bounds the random draws for a choice among peers of which many cannot be used.
	maxDraws = 16
)

// chooseFrom chooses among the peers of a group. The lock is held.
func (cl *Client) chooseFrom(group []Peer, asked []string) (Peer, bool) {
	now := cl.Now()
	var best Peer
	found, usable := false, 0
	start := 0
	if len(group) > 0 {
		start = rand.IntN(len(group))
	}
	for i := range min(len(group), maxDraws) {
		pr := group[(start+i)%len(group)]
		if len(group) > maxDraws {
			pr = group[rand.IntN(len(group))]
		}
		if slices.Contains(asked, pr.Name) || !cl.isUsable(pr.Name, now) {
			continue
		}
		if !found || cl.cost(pr, now) < cl.cost(best, now) {
			best, found = pr, true
		}
		if usable++; usable == choices {
			break
		}
	}
	return best, found
}

func (cl *Client) isUsable(name string, now time.Time) bool {
	st := cl.states[name]
	return st == nil || !now.Before(st.avoidUntil)
}

// cost returns how much a peer forwards for its bandwidth. The lock is held.
func (cl *Client) cost(pr Peer, now time.Time) float64 {
	open := 0
	if st := cl.states[pr.Name]; st != nil {
		open = st.open
		if now.Sub(st.reportedAt) < reportPeriod {
			open = max(open, st.reported)
		}
	}
	return float64(1+open) / float64(max(1, pr.BandwidthMbps))
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
	case an.reply.Outcome == tunnel.Connected || an.reply.Outcome == tunnel.UnknownTarget || an.reply.BlamesTarget():
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
