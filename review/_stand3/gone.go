package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	goneRate   = 48
	goneLength = 32 * time.Second
	// restartAt is when an instance is told to stop, and cutAt when the store cuts all waiting watches.
	restartAt, cutAt = 3 * time.Second, 13 * time.Second
	// An engine leaves leaveAfter the cut without saying that it is draining, and serves on for leaverServes. The instance starts again
	// startAfter the cut, and another engine appears appearAfter it.
	leaveAfter, startAfter, appearAfter = 1000 * time.Millisecond, 1100 * time.Millisecond, 1700 * time.Millisecond
	// cutAgainAfter is when the store cuts the watches again that were opened after the first cut.
	cutAgainAfter = 400 * time.Millisecond
	leaverServes  = 15 * time.Second
	// drainBound and contactTime are drain_ms and contact_ms of the sheet.
	drainBound, contactTime = 2 * time.Second, 3 * time.Second
)

// runGone sends lookups while an engine leaves and an instance restarts, and counts the requests that machines in touch send to the engine
// that has left.
func runGone(bd *bed, trouble bool) (broken bool, err error) {
	restarted := bd.instances[instanceCount-1]
	leaver := bd.plain[0]
	var leftAt, startedAt time.Time
	done := make(chan struct{})
	begin := time.Now()
	sleepUntil := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	go func() {
		defer close(done)
		if trouble {
			sleepUntil(restartAt)
			bd.rec.log("%s gets SIGTERM", restarted.name)
			restarted.stop(syscall.SIGTERM)
			bd.rec.log("%s has ended", restarted.name)
		}
		sleepUntil(cutAt)
		bd.rec.log("the store cuts the waiting watches")
		bd.store.DisconnectWatches()
		sleepUntil(cutAt + cutAgainAfter)
		bd.store.DisconnectWatches()
		sleepUntil(cutAt + leaveAfter)
		bd.store.Remove("servers", leaver.InstanceID())
		leftAt = time.Now()
		bd.rec.log("engine %s has left: its entry is gone, it serves on", leaver.InstanceID())
		sleepUntil(cutAt + startAfter)
		if trouble {
			if err := restarted.start(bd.dir, bd.settingsOf(instanceCount-1, restarted.addresses, bd.seedsOf(), false)); err != nil {
				bd.rec.say("cannot start %s again: %v", restarted.name, err)
			}
			startedAt = time.Now()
			bd.rec.log("%s is started again", restarted.name)
		}
		sleepUntil(cutAt + appearAfter)
		en, err := bd.startModel()
		if err != nil {
			bd.rec.say("cannot start an engine: %v", err)
			return
		}
		bd.publishModel(en, 0, "ready")
		bd.rec.log("engine %s is new", en.InstanceID())
		sleepUntil(cutAt + leaveAfter + leaverServes)
		leaver.Crash()
		bd.rec.log("engine %s ends", leaver.InstanceID())
	}()
	cs := newClients(bd)
	cs.run(goneRate, goneLength, func(no int) call {
		return call{method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", no%otherThings), deadlineMS: "4000"}
	})
	<-done
	late := 0
	for _, rn := range leaver.Runs() {
		after := rn.StartedAt.Sub(leftAt)
		if after <= drainBound {
			continue
		}
		in := cs.takers[rn.AttemptID]
		inTouch := in != restarted || startedAt.IsZero() || rn.StartedAt.Sub(startedAt) >= contactTime
		bd.rec.log("%s, sent by %s, reached engine %s %.3f s after that was gone; sender in touch: %t", rn.AttemptID, in.name, rn.InstanceID, after.Seconds(), inTouch)
		if inTouch {
			late++
		}
	}
	bd.rec.say("%d requests, answers by status %s; sent by machines in touch to the engine that has left, later than %s: %d, allowed 0",
		len(cs.answers), countStatuses(cs.answers), drainBound, late)
	return late > 0, nil
}
