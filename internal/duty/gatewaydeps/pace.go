package gatewaydeps

import (
	"context"
	"encoding/binary"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/gradualreturn"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targetpace"
	"github.com/silvermount/silvermount/internal/targets"
)

// paceInterval is how often the paces in use and the returns are updated: half of a pass, and a tenth of a step of a return.
const paceInterval = 25 * time.Millisecond

// paces holds how fast targets are and which of them return gradually. It is safe for concurrent use. What requests read is replaced as a
// whole, so that they take no lock.
type paces struct {
	switches config.LoadControl
	now      func() time.Time
	// paused returns the total time for which the process was paused.
	paused   func() time.Duration
	targets  *targets.Directory
	routes   *routes.Holder
	backOffs *backoff.Tracker
	lg       log.Interface
	began    *metrics.Counter
	lowered  *metrics.Counter
	// local issues permits while the issuer of a target does not answer.
	local *permit.Issuer

	// slowdowns holds the slowdowns other than 1, limits the limits in requests/s of returning targets.
	slowdowns, limits atomic.Pointer[map[string]float64]
	// unproven holds the returning targets at which long prompts do not start.
	unproven atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	tracker *targetpace.Tracker
	returns *gradualreturn.Controller
	// logged holds the slowdown of each slow target that was logged last.
	logged map[string]float64
	// pausedTotal is the result of paused at the last sample; samples that started before runningSince span a pause.
	pausedTotal  time.Duration
	runningSince time.Time
	// reportedSlow is set while peers hold own estimates.
	reportedSlow bool
	// unpublished is set when peers need to be told something.
	unpublished bool
}

// paceDeps are the dependencies of paces. All must be set.
type paceDeps struct {
	Switches config.LoadControl
	Now      func() time.Time
	Paused   func() time.Duration
	Targets  *targets.Directory
	Routes   *routes.Holder
	BackOffs *backoff.Tracker
	Log      log.Interface
	Metrics  *metrics.Set
}

func newPaces(dp paceDeps) *paces {
	ps := &paces{
		switches: dp.Switches, now: dp.Now, paused: dp.Paused, targets: dp.Targets, routes: dp.Routes, backOffs: dp.BackOffs, lg: dp.Log,
		began:   dp.Metrics.GetOrCreateCounter("silvermount_target_returns_total"),
		lowered: dp.Metrics.GetOrCreateCounter("silvermount_target_returns_lowered_total"),
		local:   permit.NewIssuer(dp.Now), tracker: targetpace.New(), returns: gradualreturn.NewController(), logged: map[string]float64{},
	}
	ps.slowdowns.Store(&map[string]float64{})
	ps.limits.Store(&map[string]float64{})
	ps.unproven.Store(&map[string]bool{})
	dp.Metrics.NewGauge("silvermount_targets_slow", func() float64 { return float64(len(*ps.slowdowns.Load())) })
	dp.Metrics.NewGauge("silvermount_targets_returning", func() float64 { return float64(len(*ps.limits.Load())) })
	return ps
}

// enabled reports whether any of the parts is.
func (ps *paces) enabled() bool { return ps.switches.LearnedPace || ps.switches.GradualReturn }

// connect sets the callbacks of the dispatcher for the parts that are enabled.
func (ps *paces) connect(op dispatch.Options) dispatch.Options {
	if ps.switches.LearnedPace {
		op.Slowdown = ps.slowdown
	}
	if ps.switches.GradualReturn {
		op.Returning = func(target string) (returning, proven bool) {
			return ps.limit(target).Limited, !(*ps.unproven.Load())[target]
		}
	}
	if ps.enabled() {
		op.OnSample = ps.record
	}
	return op
}

func (ps *paces) slowdown(target string) float64 {
	if slowdown, slow := (*ps.slowdowns.Load())[target]; slow {
		return slowdown
	}
	return 1
}

// limit returns the limit of a target that returns gradually.
func (ps *paces) limit(target string) ratelimit.Limit {
	if perSecond, returning := (*ps.limits.Load())[target]; returning {
		return ratelimit.PerSecond(perSecond)
	}
	return ratelimit.Limit{}
}

// record records a sample, unless the process was paused during it.
func (ps *paces) record(sa dispatch.Sample) {
	paused := ps.paused()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if paused != ps.pausedTotal {
		ps.pausedTotal, ps.runningSince = paused, ps.now()
	}
	if sa.StartedAt.Before(ps.runningSince) {
		return
	}
	if sa.Kind == dispatch.SamplePass && ps.switches.LearnedPace {
		ps.tracker.Observe(sa.Target, sa.Predicted, sa.Observed, sa.EndedAt)
	}
	if ps.switches.GradualReturn {
		good, bad := judge(sa)
		ps.unpublished = ps.returns.Record(sa.Target, good, bad) || ps.unpublished
	}
}

// judge returns whether a sample speaks for or against its target.
func judge(sa dispatch.Sample) (good, bad bool) {
	switch sa.Kind {
	case dispatch.SampleShed, dispatch.SampleFailure:
		return false, true
	case dispatch.SamplePass, dispatch.SampleFirstToken:
	}
	return gradualreturn.Judge(sa.Predicted, sa.Observed)
}

// run updates the paces until ctx ends. publish marks the report to peers as changed.
func (ps *paces) run(ctx context.Context, inFlight func(ids []string) []int, publish func()) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if ps.update(inFlight) {
				publish()
			}
		}
	}
}

// update recomputes what requests read, and reports whether peers need to be told something.
func (ps *paces) update(inFlight func(ids []string) []int) (publish bool) {
	// The load table's lock is never taken while mu is held.
	var all []gradualreturn.Target
	if ps.switches.GradualReturn {
		all = ps.returnTargets(inFlight)
		ps.local.Tick()
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.now()
	if ps.switches.GradualReturn {
		for _, event := range ps.returns.Update(now, all) {
			ps.logReturn(event)
		}
		limits := ps.returns.Limits()
		ps.limits.Store(&limits)
		unproven := ps.returns.Unproven(now)
		ps.unproven.Store(&unproven)
	}
	if ps.switches.LearnedPace {
		ps.updateSlowdowns(now)
	}
	publish, ps.unpublished = ps.unpublished, false
	return publish
}

// updateSlowdowns recomputes the slowdowns. Peers are told of own estimates again and again, since they age, and once more when there are
// none left. The caller holds the lock.
func (ps *paces) updateSlowdowns(now time.Time) {
	ps.tracker.Expire(now)
	slow := ps.tracker.Slow(now)
	ps.slowdowns.Store(&slow)
	ps.logSlowdowns(slow)
	own := len(ps.tracker.Own(now)) > 0
	ps.unpublished = ps.unpublished || own || ps.reportedSlow
	ps.reportedSlow = own
}

// slowdownLogFactor is the change of a slowdown that is logged again.
const slowdownLogFactor = 1.5

// logSlowdowns logs the targets that became slow, changed much, or keep their pace again. The caller holds the lock.
func (ps *paces) logSlowdowns(slow map[string]float64) {
	for target, slowdown := range slow {
		before, known := ps.logged[target]
		if known && slowdown < before*slowdownLogFactor && before < slowdown*slowdownLogFactor {
			continue
		}
		ps.logged[target] = slowdown
		ps.lg.WithFields(log.Fields{"target": target, "slowdown": formatRate(slowdown)}).Info("target is slower than stated")
	}
	for target := range ps.logged {
		if _, still := slow[target]; !still {
			delete(ps.logged, target)
			ps.lg.WithField("target", target).Info("target keeps its stated pace")
		}
	}
}

// returnTargets returns the state of all targets.
func (ps *paces) returnTargets(inFlight func(ids []string) []int) []gradualreturn.Target {
	known := ps.targets.Availabilities()
	ids := make([]string, len(known))
	for i, av := range known {
		ids[i] = av.Target.ID
	}
	counts := inFlight(ids)
	tb, _ := ps.routes.Current()
	answerTimes := map[string]time.Duration{}
	all := make([]gradualreturn.Target, len(known))
	for i, av := range known {
		service := av.Target.Service
		if _, computed := answerTimes[service]; !computed {
			answerTimes[service] = answerTime(tb, service)
		}
		all[i] = gradualreturn.Target{
			ID: av.Target.ID, Service: service, Away: ps.awayReason(av), Slots: av.Target.Slots, AnswerTime: answerTimes[service], InFlight: counts[i],
		}
	}
	return all
}

// awayReason returns why a target gets no ordinary work of this instance; empty if it does.
func (ps *paces) awayReason(av targets.Availability) string {
	if _, backedOff := ps.backOffs.Until(av.Target.ID); backedOff && av.Absence == "" {
		return "backed off"
	}
	return string(av.Absence)
}

func answerTime(tb *routes.Table, service string) time.Duration {
	if tb == nil {
		return dispatch.AnswerTime(routes.Service{})
	}
	sv, _ := tb.Service(service)
	return dispatch.AnswerTime(sv)
}

// logReturn logs and counts a change of a return.
func (ps *paces) logReturn(event gradualreturn.Event) {
	switch event.Kind {
	case gradualreturn.Began:
		ps.began.Inc()
	case gradualreturn.Lowered:
		ps.lowered.Inc()
	case gradualreturn.None, gradualreturn.Raised, gradualreturn.Ended:
	}
	ps.lg.WithFields(log.Fields{
		"target": event.Target, "service": event.Service, "reason": event.Reason, "limit": formatRate(event.PerSecond),
		"in_flight": event.InFlight, "others": formatRate(event.OthersMean),
	}).Info("gradual return " + string(event.Kind))
}

func formatRate(rate float64) string {
	const digits = 3
	return strconv.FormatFloat(rate, 'g', digits, 64)
}

// reportPart returns the part of the load report that tells peers of the pace of targets.
func (ps *paces) reportPart() loadreport.Part {
	return loadreport.Part{Encode: ps.encode, Receive: ps.receive, Forget: ps.forget}
}

// encode returns the own estimates and the outcomes at returning targets.
func (ps *paces) encode(now time.Time) []byte {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	estimates, counts := ps.tracker.Own(now), ps.returns.Own()
	if len(estimates)+len(counts) == 0 {
		return nil
	}
	body := targetpace.Append(nil, estimates, now)
	b := binary.AppendUvarint(nil, uint64(len(body)))
	return gradualreturn.Append(append(b, body...), counts)
}

// receive applies what a peer told. A malformed body counts as empty.
func (ps *paces) receive(peer string, body []byte, at time.Time) {
	estimates, counts, err := decodePaces(body, at)
	if err != nil {
		ps.lg.WithError(err).WithField("peer", peer).Error("cannot decode pace of targets from peer")
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.tracker.SetPeer(peer, estimates)
	ps.returns.SetPeer(peer, counts)
}

func decodePaces(body []byte, at time.Time) ([]targetpace.Estimate, []gradualreturn.Counts, error) {
	if len(body) == 0 {
		return nil, nil, nil
	}
	rd := peercodec.NewReader(body)
	inner := peercodec.NewReader(rd.ReadBytes(int(rd.ReadUvarint(math.MaxInt32))))
	estimates, counts := targetpace.Read(inner, at), gradualreturn.Read(rd)
	if err := inner.Finish(); err != nil {
		return nil, nil, err
	}
	if err := rd.Finish(); err != nil {
		return nil, nil, err
	}
	return estimates, counts, nil
}

func (ps *paces) forget(peer string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.tracker.Forget(peer)
	ps.returns.Forget(peer)
}

// localPermit decides on a request to a returning target whose issuer did not answer: this instance may issue its equal part of the rate. It
// reports false for a target with another limit, which only its issuer may apply.
func (ps *paces) localPermit(target string, other ratelimit.Limit, instances int) (permit.Decision, bool) {
	li := ps.limit(target)
	if !li.Limited || other.Limited {
		return permit.Decision{}, false
	}
	return ps.local.Issue(target, li, 1/float64(max(1, instances)), 0), true
}
