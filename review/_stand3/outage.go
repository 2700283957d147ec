package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/plainsim"
)

const (
	// lookupRate is the requests a second of the sheet, and hotShare the share that is about one thing.
	lookupRate = 48
	hotPercent = 28
	// Before outageAt everything is served. The engines are silent for silentFor and then down for downFor.
	outageAt     = 8 * time.Second
	silentFor    = time.Second
	downFor      = 2 * time.Second
	outageLength = 25 * time.Second
	// otherThings is how many other things the requests are about.
	otherThings = 60
)

// runOutage sends lookups while all engines of their service go dark and come back, and counts the system's own 4xx.
func runOutage(bd *bed, trouble bool) (broken bool, err error) {
	if trouble {
		time.AfterFunc(outageAt, bd.loseAllPlain)
	}
	cs := newClients(bd)
	cs.run(lookupRate, outageLength, func(no int) call {
		ca := call{method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", no%otherThings), deadlineMS: "4000"}
		if no%100 < hotPercent {
			ca.path = "/lookup/hot"
		}
		return ca
	})
	denied := 0
	for _, an := range cs.answers {
		if an.isDenied() {
			denied++
		}
	}
	// The rule DENIED allows five and one in 500.
	allowed := 5 + len(cs.answers)/500
	bd.rec.say("%d proper requests, answers by status %s; 3xx and 4xx of the system's own: %d, allowed %d",
		len(cs.answers), countStatuses(cs.answers), denied, allowed)
	return denied > allowed, nil
}

// isDenied reports whether an answer is a 3xx or 4xx of the system's own that the rule DENIED counts.
func (an answer) isDenied() bool {
	switch an.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return !an.signed && an.status >= http.StatusMultipleChoices && an.status < http.StatusInternalServerError
}

// loseAllPlain makes all engines of the plain service go dark, and come back as new incarnations at the same addresses.
func (bd *bed) loseAllPlain() {
	var wg sync.WaitGroup
	for no, sv := range bd.plain {
		wg.Go(func() { bd.losePlain(no, sv) })
	}
	wg.Wait()
}

func (bd *bed) losePlain(no int, sv *plainsim.Service) {
	old := sv.InstanceID()
	bd.rec.log("engine %s goes dark", old)
	// What was sent before is still answered, nothing that is sent from now on.
	sv.SetServiceTime(time.Hour)
	time.Sleep(silentFor)
	sv.Crash()
	sv.SetServiceTime(plainWork)
	// A crashed engine says nothing: its entry goes after three heartbeats of silence.
	time.AfterFunc(3*heartbeat-silentFor, func() { bd.store.Remove("servers", old) })
	time.Sleep(downFor)
	if !sv.Relaunch() {
		bd.rec.say("an engine could not start again")
		return
	}
	bd.publish(sv.InstanceID(), "plain", sv.Address(), plainSlots, no, "ready")
	bd.rec.log("engine %s is back as %s", old, sv.InstanceID())
}
