package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targets"
)

// Slot holds the load of a request at its target and helpers, from Acquire to Release. It is not safe for concurrent use.
type Slot struct {
	Target  targets.Target
	Helpers []Helper
	// Priority is the one sent to the engine; negative for plain services.
	Priority int
	// CandidateCount is the number of targets that were considered.
	CandidateCount int
	// PredictedFirstToken and PredictedPause are the time to the first token and the longest pause that the plan predicts;
	// zero for plain services.
	PredictedFirstToken, PredictedPause time.Duration

	ChosenAt time.Time

	ds *Dispatcher
	// engine is nil for plain services.
	engine      *placement.Engine
	prompt      placement.Prompt
	plan        placement.Plan
	reservation *reservation.Reservation
	// stageLoads count until the request's next stage, which begins with its first token. lifetimeLoads count until the slot is
	// released.
	stageLoads, lifetimeLoads []slotLoad
	decoding                  bool
	// arrived is when the request arrived, and lastEventAt when its last event was forwarded; zero before the first event.
	arrived, lastEventAt time.Time
	// pass is the engine pass that the next event ends.
	pass passStart
	// late is set once the answer has missed a limit, so that no further delay can reduce its worth.
	late bool
	// longestPause is the longest time between two events so far. pausedBefore is the total time for which the process was paused before the
	// target was chosen.
	longestPause, pausedBefore time.Duration
	// usage is what the organisation of the request was charged for; nil without shares, and once it is settled.
	usage *slotUsage
	// rejected is set if the target did not serve the request.
	rejected bool
}

// slotLoad is the part of a slot's load at one target.
type slotLoad struct {
	id   string
	load placement.Load
}

// TargetIDs returns the incarnations of the main target and its helpers.
func (sl *Slot) TargetIDs() []string {
	ids := []string{sl.Target.ID}
	for _, hp := range sl.Helpers {
		if hp.ID != sl.Target.ID {
			ids = append(ids, hp.ID)
		}
	}
	return ids
}

// MemoryTargets returns the incarnations at which memory is reserved for the request.
func (sl *Slot) MemoryTargets() []string {
	if sl.reservation == nil {
		return nil
	}
	ids := make([]string, len(sl.Helpers))
	for i, hp := range sl.Helpers {
		ids[i] = hp.ID
	}
	return ids
}

// addStageLoad adds a load until the slot's next stage. The caller holds the load table's lock.
func (sl *Slot) addStageLoad(id string, lo placement.Load) {
	sl.stageLoads = append(sl.stageLoads, slotLoad{id: id, load: lo})
	sl.ds.loadTable.add(id, lo)
	sl.ds.notifyLoadChange()
}

// addLifetimeLoad adds a load until the slot is released. The caller holds the load table's lock.
func (sl *Slot) addLifetimeLoad(id string, lo placement.Load) {
	sl.lifetimeLoads = append(sl.lifetimeLoads, slotLoad{id: id, load: lo})
	sl.ds.loadTable.add(id, lo)
}

func (sl *Slot) removeLoads(loads []slotLoad) {
	for _, sld := range loads {
		sl.ds.loadTable.remove(sld.id, sld.load)
	}
}

// RecordFirstToken records that the answer has begun, so that prefill is complete at all targets of the slot. Further calls
// have no effect.
func (sl *Slot) RecordFirstToken() {
	sl.sampleFirstToken()
	if sl.prompt.Tokens == 0 || sl.decoding {
		return
	}
	sl.decoding = true
	sl.ds.opts.Admission.observeFirstToken(sl)
	sl.lastEventAt = sl.ds.opts.Now()
	sl.late = sl.late || sl.lastEventAt.Sub(sl.arrived) > sl.prompt.Objective
	sl.replacePrefillLoad()
	sl.ds.queues.freed(sl.Target, sl.freesMuch())
}

// freesMuch reports whether the capacity that the slot frees may suffice for several requests.
func (sl *Slot) freesMuch() bool { return len(sl.Helpers) > 0 || sl.prompt.Tokens > maxShortTokens }

// replacePrefillLoad replaces the load until the first token by that of an answer.
func (sl *Slot) replacePrefillLoad() {
	sl.ds.loadTable.mu.Lock()
	defer sl.ds.loadTable.mu.Unlock()
	sl.removeLoads(sl.stageLoads)
	sl.stageLoads = nil
	decodeLoad := sl.prompt.DecodeLoad()
	if sl.late {
		decodeLoad = sl.prompt.AsLate().DecodeLoad()
	}
	if len(sl.plan.MemoryShares) > 0 {
		decodeLoad = decodeLoad.WithMemory(0).WithContext(sl.plan.MemoryShares[0].Tokens)
		for _, sh := range sl.plan.MemoryShares[1:] {
			sl.addStageLoad(sh.Target, placement.Load{ContextTokens: sh.Tokens})
		}
	}
	sl.addStageLoad(sl.plan.Main, decodeLoad)
}

// silenceMargin is the factor by which a pass may exceed its prediction before the target counts as lost: predictions are
// off by about a tenth, and the loads that they are based on are some milliseconds old.
const silenceMargin = 1.2

// MaxSilence returns how long the target may be silent, given the prefill that it has pending now; zero for plain services.
func (sl *Slot) MaxSilence() time.Duration {
	if sl.engine == nil {
		return 0
	}
	sl.ds.loadTable.mu.Lock()
	load := sl.ds.loadTable.total(sl.Target.ID)
	sl.ds.loadTable.mu.Unlock()
	return time.Duration(silenceMargin * float64(sl.engine.PassTime(placement.Target{Load: load})))
}

// RecordShed records that the target rejected the request for lack of room. If address is that of a helper, the helper caused
// the rejection, and is not used as one by other requests for a while either.
func (sl *Slot) RecordShed(address string) {
	sl.rejected = true
	now := sl.ds.opts.Now()
	for _, hp := range sl.Helpers {
		if hp.Address == address {
			sl.ds.loadTable.markFull(hp.ID, now.Add(absentPeriod))
			return
		}
	}
	sl.sampleOutcome(SampleShed)
	sl.ds.loadTable.markFull(sl.Target.ID, now.Add(fullPeriod))
	if sl.engine == nil && sl.ds.queues != nil {
		sl.ds.loadTable.markShed(sl.Target.ID, now)
	}
}

// RecordEvent records that an event was forwarded. A pause that was too long makes the answer late, and its target no longer
// needs to be kept free for it.
func (sl *Slot) RecordEvent() {
	sl.samplePass()
	if sl.usage != nil {
		sl.usage.events++
	}
	if !sl.decoding {
		return
	}
	now := sl.ds.opts.Now()
	pause := now.Sub(sl.lastEventAt)
	sl.lastEventAt = now
	sl.longestPause = max(sl.longestPause, pause)
	if !sl.late && pause > sl.prompt.MaxPause {
		sl.markLate()
	}
}

// markLate replaces the load of a late answer by one with nothing at risk but the caller's idle timeout.
func (sl *Slot) markLate() {
	sl.late = true
	atRisk := sl.prompt.AsLate().DecodeLoad().PauseRisk
	sl.ds.loadTable.mu.Lock()
	defer sl.ds.loadTable.mu.Unlock()
	for i := range sl.stageLoads {
		sld := &sl.stageLoads[i]
		if sld.id != sl.plan.Main {
			continue
		}
		sl.ds.loadTable.remove(sld.id, sld.load)
		sld.load = sld.load.WithPauseRisk(atRisk)
		sl.ds.loadTable.add(sld.id, sld.load)
	}
	sl.ds.notifyLoadChange()
}

// MemoryMayHaveLapsed returns a target at which the memory of the request may not have been reserved any more at a time, and whether there is one.
// It must not be called after Release.
func (sl *Slot) MemoryMayHaveLapsed(at time.Time) (target string, lapsed bool) {
	if sl.reservation == nil {
		return "", false
	}
	return sl.reservation.MayHaveLapsed(at)
}

// Release removes the slot's load and releases its reserved memory. Further calls have no effect.
func (sl *Slot) Release() {
	if sl.decoding && len(sl.stageLoads) > 0 {
		sl.ds.opts.Admission.observeEnd(sl)
	}
	sl.settleUsage()
	sl.ds.loadTable.mu.Lock()
	held := len(sl.stageLoads)+len(sl.lifetimeLoads) > 0
	sl.removeLoads(sl.stageLoads)
	sl.removeLoads(sl.lifetimeLoads)
	sl.stageLoads, sl.lifetimeLoads = nil, nil
	sl.ds.loadTable.mu.Unlock()
	sl.ds.notifyLoadChange()
	sl.ds.loadTable.wakeWaiters()
	if sl.reservation != nil {
		sl.reservation.Release()
		sl.reservation = nil
	}
	if held {
		if sl.engine == nil && !sl.rejected {
			sl.ds.queues.answered(sl.Target.Service, sl.ds.opts.Now().Sub(sl.ChosenAt))
		}
		sl.ds.queues.freed(sl.Target, sl.freesMuch())
	}
}

func (ds *Dispatcher) notifyLoadChange() {
	if ds.opts.OnLoadChange != nil {
		ds.opts.OnLoadChange()
	}
}
