package peersync

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
	// permitQuery is the name of the gossip query that requests a permit.
	permitQuery = "permit"
	// wrongIssuerRetryDelay is the delay before a retry after an instance was asked that does not issue the permits of the target.
	// It is about the time until two instances agree on the live instances.
	wrongIssuerRetryDelay = 100 * time.Millisecond
	// issuerTickInterval is the interval between calls of Issuer.Tick, by which the issuer detects that the process was frozen.
	issuerTickInterval = 250 * time.Millisecond
)

// permitRequest is a request for a permit to the issuer of a target.
type permitRequest struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// PerSecond is the rate limit as known to the requesting instance.
	PerSecond float64 `json:"per_second"`
	MaxWaitUS int64   `json:"wait_us"`
}

// permitReply is the response of the issuer.
type permitReply struct {
	Granted bool  `json:"granted"`
	DelayUS int64 `json:"after_us"`
}

// permitService issues permits to peers, and requests permits from the issuers of targets.
type permitService struct {
	self   string
	mesh   *gossip.Mesh
	issuer *permit.Issuer
	// limitOf returns the rate limit of a target.
	limitOf func(target string) ratelimit.Limit
	lg      log.Interface

	mu sync.Mutex
	// live holds the live instances at a version of the member list, and candidates the same instances as input of
	// permit.SelectIssuer.
	live           []gossip.Member
	candidates     []permit.Candidate
	membersVersion uint64
}

func newPermitService(self string, ms *gossip.Mesh, limitOf func(target string) ratelimit.Limit, lg log.Interface) *permitService {
	return &permitService{self: self, mesh: ms, issuer: permit.NewIssuer(time.Now), limitOf: limitOf, lg: lg}
}

// issuerOf returns the instance that issues the permits of a target, in the view of this instance.
func (ps *permitService) issuerOf(tg targets.Target) gossip.Member {
	live, cands := ps.liveMembers()
	name := permit.SelectIssuer(cands, tg)
	return live[slices.IndexFunc(live, func(mb gossip.Member) bool { return mb.Name == name })]
}

// liveMembers returns the live instances, which always include this one.
func (ps *permitService) liveMembers() ([]gossip.Member, []permit.Candidate) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	version := ps.mesh.MembershipVersion()
	if ps.live != nil && version == ps.membersVersion {
		return ps.live, ps.candidates
	}
	ps.membersVersion, ps.live = version, ps.mesh.Live()
	ps.candidates = make([]permit.Candidate, len(ps.live))
	for i, mb := range ps.live {
		ps.candidates[i] = permit.Candidate{Name: mb.Name, AvailabilityZone: mb.AvailabilityZone, Stopping: mb.Stopping}
	}
	return ps.live, ps.candidates
}

// requestPermit is the permit.RequestFunc of this instance.
func (ps *permitService) requestPermit(ctx context.Context, rq permit.Request) (permit.Decision, error) {
	pr := permitRequest{
		Target: rq.Target.ID, Zone: rq.Target.AvailabilityZone, PerSecond: rq.Limit.PerSecond, MaxWaitUS: rq.MaxWait.Microseconds(),
	}
	issuer := ps.issuerOf(rq.Target)
	if issuer.Name == ps.self {
		return ps.issue(pr), nil
	}
	de, err := ps.requestFromPeer(ctx, issuer, pr)
	if err != nil {
		ps.lg.WithError(err).WithFields(log.Fields{"target": pr.Target, "peer": issuer.Name}).Warn("cannot get permit from issuer")
	}
	return de, err
}

// requestFromPeer requests a permit from an issuer that is another instance.
func (ps *permitService) requestFromPeer(ctx context.Context, issuer gossip.Member, pr permitRequest) (permit.Decision, error) {
	b, err := json.Marshal(pr)
	if err != nil {
		return permit.Decision{}, errors.Wrap(err, "encode permit request")
	}
	b, err = ps.mesh.Query(ctx, issuer, permitQuery, b)
	if err != nil {
		return permit.Decision{}, errors.Wrap(err, "request permit from peer")
	}
	var rp permitReply
	if err := json.Unmarshal(b, &rp); err != nil {
		return permit.Decision{}, errors.Wrap(err, "decode permit reply")
	}
	return permit.Decision{Granted: rp.Granted, Delay: time.Duration(rp.DelayUS) * time.Microsecond}, nil
}

// issue decides on a request from this instance or a peer. It grants permits only if this instance is the issuer in its own view.
func (ps *permitService) issue(pr permitRequest) permit.Decision {
	tg := targets.Target{ID: pr.Target, AvailabilityZone: pr.Zone}
	if ps.issuerOf(tg).Name != ps.self {
		return permit.Decision{Delay: wrongIssuerRetryDelay}
	}
	li := ps.limitOf(pr.Target)
	if !li.Limited {
		li = ratelimit.PerSecond(pr.PerSecond)
	}
	return ps.issuer.Issue(pr.Target, li, permit.LimitShare(ps.mesh.MemberCounts()), time.Duration(pr.MaxWaitUS)*time.Microsecond)
}

// answerPeer responds to the request of a peer. It reports false if the request cannot be decoded.
func (ps *permitService) answerPeer(b []byte) ([]byte, bool) {
	var pr permitRequest
	if err := json.Unmarshal(b, &pr); err != nil {
		ps.lg.WithError(err).Error("cannot decode permit request of peer")
		return nil, false
	}
	de := ps.issue(pr)
	b, err := json.Marshal(permitReply{Granted: de.Granted, DelayUS: de.Delay.Microseconds()})
	if err != nil {
		ps.lg.WithError(err).Error("cannot encode permit for peer")
	}
	return b, err == nil
}

// tickIssuer calls Issuer.Tick at regular intervals until ctx is cancelled.
func (ps *permitService) tickIssuer(ctx context.Context) {
	tick := time.NewTicker(issuerTickInterval)
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
