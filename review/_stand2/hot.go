package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// things and hotShare are the things that safe requests are about on the small site, and the share about one of them under `hot_key`.
	things   = 60
	hotShare = 0.28
	hotThing = "7"
	// downTime is how long crashed engines are down; for_s of `srv_crash` is 4.5 on the small site.
	downTime = 1500 * time.Millisecond
	// heartbeatLapse is three heartbeats, after which the entry of a crashed engine goes.
	heartbeatLapse = 3600 * time.Millisecond
)

// playHotRequest crashes the three engines of the plain service once, while each of them runs the request for the hot thing.
func playHotRequest(rec *record, trouble bool) (int, error) {
	bd, err := newBed(rec)
	if err != nil {
		return notRun, err
	}
	defer bd.close()
	for _, name := range []string{"edge-a-1", "edge-b-1", "edge-c-1"} {
		bd.addInstance(name, bd.store.address)
	}
	bd.store.put("config", "main", operatorConfig{version: 3, service: service, tenants: oneTenant("key-1")}.spec())
	if err := addThree(bd, "i"); err != nil {
		return notRun, err
	}
	if err := bd.startAll(); err != nil {
		return notRun, err
	}
	cs := &clients{bed: bd, key: func() string { return "key-1" }, thing: func() string {
		if rand.Float64() < hotShare {
			return hotThing
		}
		return fmt.Sprint(100 + rand.IntN(things))
	}}
	cs.run(30, 120*time.Millisecond)
	time.Sleep(12 * time.Second)
	crashed := bd.engines
	if trouble {
		waitUntilAllRun(crashed, safePrefix+hotThing)
		var wg sync.WaitGroup
		for _, en := range crashed {
			wg.Go(en.stop)
		}
		wg.Wait()
		rec.say("the three engines crash at the same moment")
		time.Sleep(downTime)
		if err := addThree(bd, "j"); err != nil {
			return notRun, err
		}
		rec.say("they are back under new ids after %s", downTime)
		time.Sleep(heartbeatLapse - downTime)
		for _, en := range crashed {
			bd.store.remove("servers", en.id)
		}
	}
	time.Sleep(20 * time.Second)
	cs.stop()
	return judgeDenied(rec, cs), nil
}

func addThree(bd *bed, prefix string) error {
	for i, zone := range zones {
		if _, err := bd.addEngine(fmt.Sprintf("%s-%d", prefix, i+1), service, zone, work); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilAllRun waits until each engine runs a request for a path, for ten seconds at most.
func waitUntilAllRun(engines []*engine, path string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		all := true
		for _, en := range engines {
			all = all && en.runs(path)
		}
		if all {
			return
		}
	}
}

// judgeDenied returns broken if more than 5 + one in 500 of all requests ended with 400.
func judgeDenied(rec *record, cs *clients) int {
	denied, hot := 0, 0
	var last time.Time
	for _, an := range cs.answers {
		if an.status != http.StatusBadRequest {
			continue
		}
		denied++
		if an.path == safePrefix+hotThing {
			hot++
		}
		if an.sentAt.After(last) {
			last = an.sentAt
		}
	}
	allowed := 5 + len(cs.answers)/500
	rec.say("%d of %d proper requests ended with 400, %d of them for the hot thing; %d are allowed", denied, len(cs.answers), hot, allowed)
	if denied <= allowed {
		return held
	}
	rec.say("the last of them was sent %s before the end of the case", time.Since(last).Round(time.Millisecond))
	return broken
}
