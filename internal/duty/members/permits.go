package members

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// permitQuestion is the name under which a peer is asked for a permit.
	permitQuestion = "permit"
	// elsewhereFor is when to ask again after an instance was asked that does not issue the target's permits: about the time after which
	// two views of who lives agree.
	elsewhereFor = 100 * time.Millisecond
	// beatEvery is how often the issuer is told that this process runs.
	beatEvery = 250 * time.Millisecond
)

// question asks the issuer of a target for a permit.
type question struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// PerSecond is the limit that the instance which asks believes in.
	PerSecond float64 `json:"per_second"`
	WaitUS    int64   `json:"wait_us"`
}

// reply is the issuer's answer.
type reply struct {
	Granted bool  `json:"granted"`
	AfterUS int64 `json:"after_us"`
}

// permits issues permits and asks others for them.
type permits struct {
	self   string
	mesh   *gossip.Mesh
	issuer *permit.Issuer
	limits *ratelimit.Book
	lg     log.Interface

	mu sync.Mutex
	// live is the list of live instances of a version of the mesh, and candidates the same as the choice of an issuer takes them.
	live       []gossip.Member
	candidates []permit.Candidate
	version    uint64
}

func newPermits(self string, ms *gossip.Mesh, limits *ratelimit.Book, lg log.Interface) *permits {
	return &permits{self: self, mesh: ms, issuer: permit.NewIssuer(time.Now), limits: limits, lg: lg}
}

// issuerOf returns the instance that issues the permits of a target.
func (ps *permits) issuerOf(tg targets.Target) gossip.Member {
	live, cands := ps.members()
	name := permit.SelectIssuer(cands, tg)
	return live[slices.IndexFunc(live, func(mb gossip.Member) bool { return mb.Name == name })]
}

// members returns the live instances; there is always this one.
func (ps *permits) members() ([]gossip.Member, []permit.Candidate) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	version := ps.mesh.MembershipVersion()
	if ps.live != nil && version == ps.version {
		return ps.live, ps.candidates
	}
	ps.version, ps.live = version, ps.mesh.Live()
	ps.candidates = make([]permit.Candidate, len(ps.live))
	for i, mb := range ps.live {
		ps.candidates[i] = permit.Candidate{Name: mb.Name, AvailabilityZone: mb.AvailabilityZone, Stopping: mb.Stopping}
	}
	return ps.live, ps.candidates
}

// ask is the permit.Ask of this instance.
func (ps *permits) ask(ctx context.Context, rq permit.Request) (permit.Decision, error) {
	qu := question{
		Target: rq.Target.ID, Zone: rq.Target.AvailabilityZone, PerSecond: rq.Limit.PerSecond, WaitUS: rq.MaxWait.Microseconds(),
	}
	issuer := ps.issuerOf(rq.Target)
	if issuer.Name == ps.self {
		return ps.issue(qu), nil
	}
	an, err := ps.askPeer(ctx, issuer, qu)
	if err != nil {
		ps.lg.WithError(err).WithFields(log.Fields{"target": qu.Target, "peer": issuer.Name}).Warn("no answer about a permit")
	}
	return an, err
}

// askPeer puts a question to the issuer that is another instance.
func (ps *permits) askPeer(ctx context.Context, issuer gossip.Member, qu question) (permit.Decision, error) {
	b, err := json.Marshal(qu)
	if err != nil {
		return permit.Decision{}, errors.Wrap(err, "encode question")
	}
	b, err = ps.mesh.Query(ctx, issuer, permitQuestion, b)
	if err != nil {
		return permit.Decision{}, errors.Wrap(err, "ask for permit")
	}
	var rp reply
	if err := json.Unmarshal(b, &rp); err != nil {
		return permit.Decision{}, errors.Wrap(err, "decode permit")
	}
	return permit.Decision{Granted: rp.Granted, Delay: time.Duration(rp.AfterUS) * time.Microsecond}, nil
}

// issue answers a question, of this instance itself or a peer. Only the issuer by this instance's own view grants anything.
func (ps *permits) issue(qu question) permit.Decision {
	tg := targets.Target{ID: qu.Target, AvailabilityZone: qu.Zone}
	if ps.issuerOf(tg).Name != ps.self {
		return permit.Decision{Delay: elsewhereFor}
	}
	li := ps.limits.Of(qu.Target)
	if !li.Named {
		li = ratelimit.Of(qu.PerSecond)
	}
	return ps.issuer.Issue(qu.Target, li, permit.LimitShare(ps.mesh.MemberCounts()), time.Duration(qu.WaitUS)*time.Microsecond)
}

// answer answers a peer's question.
func (ps *permits) answer(name string, b []byte) ([]byte, bool) {
	if name != permitQuestion {
		return nil, false
	}
	var qu question
	if err := json.Unmarshal(b, &qu); err != nil {
		ps.lg.WithError(err).Error("peer's question about a permit cannot be read")
		return nil, false
	}
	an := ps.issue(qu)
	b, err := json.Marshal(reply{Granted: an.Granted, AfterUS: an.Delay.Microseconds()})
	if err != nil {
		ps.lg.WithError(err).Error("permit not told")
	}
	return b, err == nil
}

// beat tells the issuer that this process runs, until ctx ends.
func (ps *permits) beat(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			ps.issuer.Tick()
		case <-ctx.Done():
			return
		}
	}
}
