package gradualreturn

import (
	"time"
)

const (
	// settleTime is how long after the first target was seen new targets begin no return: at the first start of a fleet nobody else would
	// carry the load, and an instance that joins a fleet learns of its targets.
	settleTime = 2 * time.Second
	// inUseShare is the share of the mean load of the others from which a target counts as in use by peers. Its absence was one that only
	// this instance saw.
	inUseShare = 0.5
	// scarceShare is the share of the slots of the steady targets from which capacity counts as scarce.
	scarceShare = 0.75
)

// Target is the state of one target.
type Target struct {
	// ID is the incarnation.
	ID, Service string
	// Away is why the target gets no ordinary work now; empty if it does.
	Away  string
	Slots int
	// AnswerTime is how long a request takes.
	AnswerTime time.Duration
	// InFlight is the number of requests of all instances there.
	InFlight int
}

// Event is one change of a return.
type Event struct {
	Target, Service string
	Kind            Kind
	Reason          string
	// PerSecond is the limit from now on in requests/s; of no meaning once the return has ended.
	PerSecond  float64
	InFlight   int
	OthersMean float64
}

// Controller keeps the returns of all targets of one instance. It is not safe for concurrent use.
type Controller struct {
	// Tally counts the outcomes at the returning targets.
	*Tally
	// firstSeenAt is when the first target was seen; zero before.
	firstSeenAt time.Time
	// away holds why each known target was away at the last update; empty for one that was available.
	away  map[string]string
	ramps map[string]Ramp
}

// NewController returns a Controller that knows no targets.
func NewController() *Controller {
	return &Controller{Tally: NewTally(), away: map[string]string{}, ramps: map[string]Ramp{}}
}

// serviceState sums up the targets of one service.
type serviceState struct {
	all, steady, steadySlots, steadyInFlight, inFlight int
}

// othersMean returns the mean number of requests at the steady targets.
func (ss serviceState) othersMean() float64 {
	return float64(ss.steadyInFlight) / float64(max(1, ss.steady))
}

// Update applies the state of all known targets, and returns what changed.
func (co *Controller) Update(now time.Time, all []Target) []Event {
	if co.firstSeenAt.IsZero() && len(all) > 0 {
		co.firstSeenAt = now
	}
	returned := co.returned(now, all)
	services := co.sumUp(all, returned)
	var events []Event
	for _, tg := range all {
		event := Event{Target: tg.ID, Service: tg.Service, InFlight: tg.InFlight, OthersMean: services[tg.Service].othersMean()}
		if reason, ok := returned[tg.ID]; ok {
			event.Kind, event.Reason = co.begin(now, tg, services[tg.Service]), reason
		} else {
			event.Kind, event.Reason = co.step(now, tg, event.OthersMean)
		}
		if event.Kind != None {
			event.PerSecond = co.ramps[tg.ID].PerSecond()
			events = append(events, event)
		}
	}
	return append(events, co.forget(all)...)
}

// returned returns the targets that became available since the last update, with the reason why they were away.
func (co *Controller) returned(now time.Time, all []Target) map[string]string {
	returned := map[string]string{}
	for _, tg := range all {
		before, known := co.away[tg.ID]
		co.away[tg.ID] = tg.Away
		switch {
		case tg.Away != "" || now.Sub(co.firstSeenAt) < settleTime:
		case !known:
			returned[tg.ID] = "new"
		case before != "":
			returned[tg.ID] = before
		}
	}
	return returned
}

// sumUp sums up the targets by service.
func (co *Controller) sumUp(all []Target, returned map[string]string) map[string]serviceState {
	services := map[string]serviceState{}
	for _, tg := range all {
		ss := services[tg.Service]
		ss.inFlight += tg.InFlight
		_, returning := co.ramps[tg.ID]
		if _, now := returned[tg.ID]; now {
			returning = true
		}
		if tg.Away == "" {
			ss.all++
		}
		if tg.Away == "" && !returning {
			ss.steady++
			ss.steadySlots += tg.Slots
			ss.steadyInFlight += tg.InFlight
		}
		services[tg.Service] = ss
	}
	return services
}

// begin begins the return of a target, unless it needs none.
func (co *Controller) begin(now time.Time, tg Target, ss serviceState) Kind {
	if ss.inFlight == 0 || tg.InFlight > 0 && float64(tg.InFlight) >= inUseShare*ss.othersMean() {
		return None
	}
	ra, limited := Begin(now, Situation{
		Slots: tg.Slots, AnswerTime: tg.AnswerTime, All: ss.all, Steady: ss.steady,
		Scarce: float64(ss.steadyInFlight) >= scarceShare*float64(ss.steadySlots),
	})
	if !limited {
		return None
	}
	ra.inFlight = tg.InFlight
	co.ramps[tg.ID] = ra
	co.Open(tg.ID)
	return Began
}

// step makes a step of the return of a target, if there is one.
func (co *Controller) step(now time.Time, tg Target, othersMean float64) (Kind, string) {
	ra, returning := co.ramps[tg.ID]
	if !returning {
		return None, ""
	}
	if tg.Away != "" {
		co.end(tg.ID)
		return Ended, tg.Away
	}
	good, bad := co.Take(tg.ID)
	ra, kind, reason := ra.Step(now, Evidence{Good: good, Bad: bad, InFlight: tg.InFlight, OthersMean: othersMean})
	co.ramps[tg.ID] = ra
	if kind == Ended {
		co.end(tg.ID)
	}
	return kind, reason
}

// end ends the return of a target.
func (co *Controller) end(target string) {
	delete(co.ramps, target)
	co.Close(target)
}

// forget removes targets that are no longer known.
func (co *Controller) forget(all []Target) []Event {
	if len(co.away) == len(all) {
		return nil
	}
	known := make(map[string]struct{}, len(all))
	for _, tg := range all {
		known[tg.ID] = struct{}{}
	}
	var events []Event
	for id := range co.away {
		if _, ok := known[id]; ok {
			continue
		}
		delete(co.away, id)
		if _, returning := co.ramps[id]; returning {
			co.end(id)
			events = append(events, Event{Target: id, Kind: Ended, Reason: "gone"})
		}
	}
	return events
}

// Limits returns the limits in requests/s of all returning targets.
func (co *Controller) Limits() map[string]float64 {
	limits := make(map[string]float64, len(co.ramps))
	for id, ra := range co.ramps {
		limits[id] = ra.PerSecond()
	}
	return limits
}

// Unproven returns the returning targets at which long prompts and parts of split prompts must not start.
func (co *Controller) Unproven(now time.Time) map[string]bool {
	unproven := map[string]bool{}
	for id, ra := range co.ramps {
		if !ra.Proven(now) {
			unproven[id] = true
		}
	}
	return unproven
}
