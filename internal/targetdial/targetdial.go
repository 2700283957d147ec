// Package targetdial connects to targets, directly or, where this instance does not reach a target itself, through a peer that does.
package targetdial

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/pathstate"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// peerDelay is how long a direct connection may take before a peer is asked as well: several round trips across a region.
	peerDelay = 50 * time.Millisecond
	// probeInterval is the time between two direct connections that find out whether a lost path works again.
	probeInterval = 250 * time.Millisecond
)

// Deps are the dependencies of a Dialer. All fields are required.
type Deps struct {
	// Direct connects without a peer. It fails with an upstream.DialError.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// ThroughPeer connects through a peer. It fails with a tunnelclient.FailureError.
	ThroughPeer func(ctx context.Context, address string) (*tunnelclient.Conn, error)
	// IsPeerUsable reports whether an open connection through a peer may carry another request.
	IsPeerUsable func(peer string) bool
	Paths        *pathstate.Tracker
	// IsTarget reports whether an address is that of a known target.
	IsTarget func(address string) bool
	// Addresses returns the addresses of all targets that take work.
	Addresses func() []string
	// Now returns the time of a monotonic clock.
	Now func() time.Time
}

const (
	// searchShare, searchBurst and minSearchRate (per second) bound the searches for a peer that follow direct attempts, as a share of
	// these. Targets that are slow to accept connections must not get several times as many.
	searchShare   = 0.1
	searchBurst   = 10
	minSearchRate = 5
	// tryOthersInterval is the minimum time between two attempts at other targets to find out whether this instance reaches any.
	tryOthersInterval = 500 * time.Millisecond
)

// Dialer connects to targets. It is safe for concurrent use.
type Dialer struct {
	Deps
	// searches is the budget of searches for a peer while the path of this instance is not known to be lost.
	searches *budget.Retries
	// probesAny is set if the last probe went to any target. Only Run uses it.
	probesAny bool

	mu sync.Mutex
	// triedOthersAt is when tryOthers last connected; zero before.
	triedOthersAt time.Time
}

// New returns a dialer.
func New(dp Deps) *Dialer {
	return &Dialer{Deps: dp, searches: budget.NewRetries(searchShare, dp.Now, budget.WithBurst(searchBurst), budget.WithMinRate(minSearchRate))}
}

// Dial connects to a target. It fails with an upstream.DialError.
func (dl *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if dl.Paths.Isolated() {
		return nil, &upstream.DialError{Address: address, Cause: &IsolatedError{LastSign: dl.Paths.LastSign()}, Isolated: true}
	}
	return dl.dial(ctx, address)
}

// IsolatedError means that no connection was tried, because neither this instance nor its peers reach any target.
type IsolatedError struct {
	// LastSign is when a target last accepted a direct connection or answered on one; zero if none has.
	LastSign time.Time
}

// Error includes the time of the last sign of a target.
func (ie *IsolatedError) Error() string {
	if ie.LastSign.IsZero() {
		return "no target was ever reached, by this instance or its peers"
	}
	return "no target reached by this instance or its peers since " + ie.LastSign.UTC().Format(time.RFC3339Nano)
}

func (dl *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	switch dl.Paths.Route(address) {
	case pathstate.PeersFirst:
		return dl.dialPeersFirst(ctx, address)
	case pathstate.Both:
		return dl.race(ctx, address, dl.startDirect(ctx, address))
	default:
		return dl.dialDirectFirst(ctx, address)
	}
}

// IsReusable reports whether an idle connection may carry another request. While the path to its target is lost, a direct connection must
// have received data since, and a connection through a peer is used only then.
func (dl *Dialer) IsReusable(address string, st upstream.State) bool {
	since, lost := dl.Paths.LostSince(address)
	if st.Peer != "" {
		return lost && dl.IsPeerUsable(st.Peer)
	}
	return !lost || st.LastReadAt.After(since)
}

// directResult is the result of a direct attempt.
type directResult struct {
	conn net.Conn
	err  error
}

// isEvidence reports whether a failed direct attempt shows that the target is out of reach: this process was not paused meanwhile.
func (dr directResult) isEvidence() bool {
	var de *upstream.DialError
	if errors.As(dr.err, &de) && de.ProcessPaused {
		return false
	}
	return dr.err != nil
}

// peerResult is the result of an attempt through peers.
type peerResult struct {
	conn *tunnelclient.Conn
	err  error
}

// startDirect starts a direct attempt, which continues when ctx ends: its result is evidence.
func (dl *Dialer) startDirect(ctx context.Context, address string) <-chan directResult {
	done := make(chan directResult, 1)
	go func() {
		nc, err := dl.DialDirect(context.WithoutCancel(ctx), address)
		done <- directResult{conn: nc, err: err}
	}()
	return done
}

func (dl *Dialer) startPeers(ctx context.Context, address string) <-chan peerResult {
	done := make(chan peerResult, 1)
	go func() {
		cn, err := dl.ThroughPeer(ctx, address)
		done <- peerResult{conn: cn, err: err}
	}()
	return done
}

// dialDirectFirst connects directly, and asks peers as soon as that fails or takes long.
func (dl *Dialer) dialDirectFirst(ctx context.Context, address string) (net.Conn, error) {
	dl.searches.Deposit()
	direct := dl.startDirect(ctx, address)
	wait := time.NewTimer(peerDelay)
	defer wait.Stop()
	for {
		select {
		case dr := <-direct:
			return dl.afterDirect(ctx, address, dr)
		case <-wait.C:
			if dl.searches.TryWithdraw() {
				return dl.race(ctx, address, direct)
			}
		case <-ctx.Done():
			go closeLate(direct)
			return nil, &upstream.DialError{Address: address, Cause: ctx.Err()}
		}
	}
}

// afterDirect returns the connection of a direct attempt, or asks peers after its failure.
func (dl *Dialer) afterDirect(ctx context.Context, address string, dr directResult) (net.Conn, error) {
	if dr.err == nil {
		return dr.conn, nil
	}
	if !dl.searches.TryWithdraw() {
		return nil, dr.err
	}
	cn, err := dl.ThroughPeer(ctx, address)
	return dl.settle(ctx, address, dr, peerResult{conn: cn, err: err})
}

// race takes the first connection of a direct attempt, which is under way, and an attempt through peers.
func (dl *Dialer) race(ctx context.Context, address string, direct <-chan directResult) (net.Conn, error) {
	peersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := dl.startPeers(peersCtx, address)
	var dr directResult
	var pr peerResult
	select {
	case dr = <-direct:
		if dr.err == nil {
			go closeLatePeer(peers)
			return dr.conn, nil
		}
		pr = <-peers
	case pr = <-peers:
		if pr.err == nil {
			go dl.recordLate(address, direct, pr.conn.Peer())
			return pr.conn, nil
		}
		select {
		case dr = <-direct:
		case <-ctx.Done():
			go closeLate(direct)
			return nil, &upstream.DialError{Address: address, Cause: ctx.Err()}
		}
	}
	return dl.settle(ctx, address, dr, pr)
}

// recordLate waits for the result of a direct attempt to a target that a peer has connected to, and records it.
func (dl *Dialer) recordLate(address string, direct <-chan directResult, peer string) {
	dr := <-direct
	if dr.isEvidence() {
		dl.Paths.RecordReachedByPeer(address, peer)
	}
	closeConn(dr.conn)
}

// settle records what the results of both attempts show, and returns the connection or the error that follows. If ctx has ended, peers may
// have had no time to answer, and only a refused connection says more than that.
func (dl *Dialer) settle(ctx context.Context, address string, dr directResult, pr peerResult) (net.Conn, error) {
	if dr.err == nil {
		return dr.conn, nil
	}
	if pr.err == nil {
		if dr.isEvidence() {
			dl.Paths.RecordReachedByPeer(address, pr.conn.Peer())
		}
		return pr.conn, nil
	}
	if ctx.Err() == nil && dr.isEvidence() && !isBlamed(pr.err) {
		dl.Paths.RecordUnreached(address)
		dl.tryOthers(address)
	}
	de := &upstream.DialError{
		Address: address, Cause: dr.err, Peers: pr.err, Isolated: dl.Paths.Isolated(), Doubtful: isDoubtful(pr.err),
	}
	var direct *upstream.DialError
	if errors.As(dr.err, &direct) {
		de.Cause, de.ProcessPaused = direct.Cause, direct.ProcessPaused
	}
	if err := ctx.Err(); err != nil && !errors.Is(dr.err, syscall.ECONNREFUSED) {
		de.Cause = err
	}
	return nil, de
}

// DialDirect connects without a peer, and records a success. It fails with an upstream.DialError.
func (dl *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	nc, err := dl.Direct(ctx, address)
	if err == nil {
		dl.Paths.RecordConnected(address)
	}
	return nc, err
}

// isBlamed reports whether peers found the target itself at fault.
func isBlamed(err error) bool {
	var fe *tunnelclient.FailureError
	return errors.As(err, &fe) && fe.Blamed
}

// isDoubtful reports whether peers were asked and could not tell whether the target is at fault.
func isDoubtful(err error) bool {
	var fe *tunnelclient.FailureError
	return errors.As(err, &fe) && fe.Asked > 0 && !fe.Blamed
}

// dialPeersFirst connects through a peer. If no peer can tell whether the target is at fault, the path may work again, and a direct
// attempt follows.
func (dl *Dialer) dialPeersFirst(ctx context.Context, address string) (net.Conn, error) {
	cn, err := dl.ThroughPeer(ctx, address)
	if err == nil {
		dl.Paths.RecordUsedPeer(address, cn.Peer())
		return cn, nil
	}
	if isBlamed(err) || ctx.Err() != nil {
		return nil, &upstream.DialError{Address: address, Cause: err}
	}
	direct := dl.startDirect(ctx, address)
	select {
	case dr := <-direct:
		return dl.settle(ctx, address, dr, peerResult{err: err})
	case <-ctx.Done():
		go closeLate(direct)
		return nil, &upstream.DialError{Address: address, Cause: ctx.Err()}
	}
}

// Check finds out in the background whether a target that is silent on open connections accepts new ones, and records the evidence.
func (dl *Dialer) Check(address string) {
	go func() {
		closeProbe(dl.dial(context.Background(), address))
	}()
}

// Run probes lost paths until ctx ends.
func (dl *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		dl.probe(ctx)
	}
}

// probe connects directly to a target whose path is lost, or in turn to any target while the paths to all count as lost. While the instance
// is isolated, it connects to any target, directly or through a peer. It is called by Run only.
func (dl *Dialer) probe(ctx context.Context) {
	dl.Paths.ExpireIsolation()
	if dl.Paths.Isolated() {
		for _, address := range dl.randomTargets(1, "") {
			closeProbe(dl.dialDirectFirst(ctx, address))
		}
		return
	}
	address, ok := dl.Paths.NextProbe(dl.IsTarget)
	dl.probesAny = !dl.probesAny && dl.Paths.AllLost()
	if dl.probesAny {
		for _, other := range dl.randomTargets(1, address) {
			address, ok = other, true
		}
	}
	if ok {
		dr := <-dl.startDirect(ctx, address)
		closeConn(dr.conn)
	}
}

const (
	// staleSign is the age of the last sign of any target from which the failure of a connection does not tell whose fault it is.
	staleSign = 500 * time.Millisecond
	// maxOthers is how many other targets are tried then: some of them may be at fault too.
	maxOthers = 3
)

// randomTargets returns the addresses of up to n random targets other than the given one.
func (dl *Dialer) randomTargets(n int, except string) []string {
	addresses := slices.DeleteFunc(dl.Addresses(), func(address string) bool { return address == except })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// tryOthers connects to some targets other than the given one in the background, if no target gave a sign lately. A success shows that
// this instance is not cut off.
func (dl *Dialer) tryOthers(except string) {
	if !dl.mayTryOthers() {
		return
	}
	for _, address := range dl.randomTargets(maxOthers, except) {
		go func() { closeProbe(dl.DialDirect(context.Background(), address)) }()
	}
}

// mayTryOthers reports whether to connect to other targets now, and records that this happens.
func (dl *Dialer) mayTryOthers() bool {
	now := dl.Now()
	if now.Sub(dl.Paths.LastSign()) < staleSign {
		return false
	}
	dl.mu.Lock()
	defer dl.mu.Unlock()
	if now.Sub(dl.triedOthersAt) < tryOthersInterval {
		return false
	}
	dl.triedOthersAt = now
	return true
}

// DialForPeer connects directly to a target for a peer. If that takes long, it also makes sure that the age of the last sign of any target
// tells whether this instance reaches others. It fails with an upstream.DialError.
func (dl *Dialer) DialForPeer(ctx context.Context, address string) (net.Conn, error) {
	others := time.AfterFunc(peerDelay, func() { dl.tryOthers(address) })
	defer others.Stop()
	return dl.DialDirect(ctx, address)
}

func closeLate(direct <-chan directResult) {
	dr := <-direct
	closeConn(dr.conn)
}

func closeLatePeer(peers <-chan peerResult) {
	if pr := <-peers; pr.err == nil {
		closeConn(pr.conn)
	}
}

// closeProbe closes the connection of an attempt that was made for its evidence only.
func closeProbe(nc net.Conn, err error) {
	if err == nil {
		closeConn(nc)
	}
}

// closeConn closes a connection that was never used; nil is ignored.
func closeConn(nc net.Conn) {
	if nc != nil {
		_ = nc.Close()
	}
}
