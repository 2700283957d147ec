package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/standin/modelsim"
	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

const (
	chatRate      = 40
	leavingLength = 100 * time.Second
	// A share of the engines lose a share of the answers of what they ran, for lostFor at a time.
	lostEngineShare = 0.6
	lostAnswerShare = 0.4
	lostFor         = 4 * time.Second
	lostPause       = 2 * time.Second
	// plannedFaults is more requests than one engine gets in lostFor.
	plannedFaults = 400
	// One engine is replaced each replaceGap. A replaced one says draining, serves on for serveOn and ends.
	replaceGap = time.Second
	serveOn    = 8 * time.Second
	// allowedExcess is how many requests may run on more engines than max_attempts, by the rule BUDGET.
	allowedExcess = 3
)

// runLeaving sends prompts while engines lose answers and are replaced one by one, and counts the requests that ran on more engines than
// max_attempts. An engine that ended before the request did is left out.
func runLeaving(bd *bed, trouble bool) (broken bool, err error) {
	end := time.Now().Add(leavingLength - 5*time.Second)
	go func() {
		for time.Now().Before(end) {
			bd.loseAnswers()
			time.Sleep(lostPause)
		}
	}()
	if trouble {
		go func() {
			for no := 0; time.Now().Before(end); no++ {
				bd.replaceModel(no % modelEngines)
				time.Sleep(replaceGap)
			}
		}()
	}
	cs := newClients(bd)
	cs.run(chatRate, leavingLength, func(no int) call {
		return call{
			method: http.MethodPost, path: fmt.Sprintf("/chat/%d", no%60), deadlineMS: "10000", body: strings.Repeat("text ", 240),
			promptParts: fmt.Sprintf("%x:40,%x:4920", 0x1000+no%60, 0x100000+no),
		}
	})
	repeated, excess := bd.countRuns()
	bd.rec.say("%d requests, answers by status %s; ran on several engines: %d; on more than max_attempts = %d: %d, allowed %d",
		len(cs.answers), countStatuses(cs.answers), repeated, maxAttempts, excess, allowedExcess)
	return excess > allowedExcess, nil
}

// loseAnswers makes a share of the engines lose answers for a while.
func (bd *bed) loseAnswers() {
	bd.mu.Lock()
	models := append([]*modelsim.Engine{}, bd.models...)
	bd.mu.Unlock()
	rand.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	chosen := models[:int(lostEngineShare*float64(len(models)))]
	for _, en := range chosen {
		for range plannedFaults {
			kd := targetsim.None
			if rand.Float64() < lostAnswerShare {
				kd = targetsim.Reset
			}
			en.InjectFault(kd, 1)
		}
	}
	time.Sleep(lostFor)
	for _, en := range chosen {
		en.ClearFaults()
	}
}

// replaceModel starts a new engine and drains an old one.
func (bd *bed) replaceModel(no int) {
	en, err := bd.startModel()
	if err != nil {
		bd.rec.say("cannot start an engine: %v", err)
		return
	}
	bd.mu.Lock()
	old := bd.models[no]
	bd.models[no] = en
	bd.mu.Unlock()
	bd.publishModel(en, no, "ready")
	old.Drain()
	bd.publishModel(old, no, "draining")
	bd.rec.log("engine %s is new, engine %s is draining", en.InstanceID(), old.InstanceID())
	time.AfterFunc(serveOn, func() { bd.endModel(old) })
}

func (bd *bed) endModel(en *modelsim.Engine) {
	bd.mu.Lock()
	bd.ended[en.InstanceID()] = time.Now()
	bd.mu.Unlock()
	bd.rec.log("engine %s ends", en.InstanceID())
	bd.store.Remove("servers", en.InstanceID())
	en.Crash()
}

// countRuns returns how many requests ran on several engines that had not ended before the request did, and on more than max_attempts.
func (bd *bed) countRuns() (repeated, excess int) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	runs := map[string][]targetsim.Run{}
	for _, en := range bd.allModels {
		for _, rn := range en.Runs() {
			runs[rn.AttemptID] = append(runs[rn.AttemptID], rn)
		}
	}
	for id, list := range runs {
		engines := bd.enginesOf(list)
		if len(engines) > 1 {
			repeated++
		}
		if len(engines) <= maxAttempts {
			continue
		}
		excess++
		bd.rec.log("%s ran on %d engines:", id, len(engines))
		for _, rn := range list {
			bd.rec.log("  engine %s from %.3f to %.3f, %s, fault %q", rn.InstanceID, bd.rec.since(rn.StartedAt), bd.rec.since(rn.FinishedAt), rn.State, rn.Fault)
		}
	}
	return repeated, excess
}

// enginesOf returns the engines of the runs of one request without those that ended before the last of the runs did. The lock is held.
func (bd *bed) enginesOf(list []targetsim.Run) map[string]bool {
	last := time.Time{}
	for _, rn := range list {
		if rn.FinishedAt.After(last) {
			last = rn.FinishedAt
		}
	}
	engines := map[string]bool{}
	for _, rn := range list {
		if at, ended := bd.ended[rn.InstanceID]; !ended || at.After(last) {
			engines[rn.InstanceID] = true
		}
	}
	return engines
}
