package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	service = "criwiau"
	// work is the mean work of the requests to the plain service on the small site.
	work = 60 * time.Millisecond
	// contactBound and drainBound are contact_ms and drain_ms of the small site, checkMargin is left to the measurement.
	contactBound = 3000 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
	checkMargin  = 100 * time.Millisecond
)

func oneTenant(keys ...string) []map[string]any {
	return []map[string]any{{"name": "hule930", "api_keys": keys, "priority": 1}}
}

// newSmallBed returns a bed with three instances, each with a proxy before the store, and four engines.
func newSmallBed(rec *record) (*bed, []*proxy, error) {
	bd, err := newBed(rec)
	if err != nil {
		return nil, nil, err
	}
	var proxies []*proxy
	for _, name := range []string{"edge-a-1", "edge-b-1", "edge-c-1"} {
		px, err := startProxy(bd.store.address)
		if err != nil {
			bd.close()
			return nil, nil, err
		}
		proxies = append(proxies, px)
		bd.addInstance(name, px.address)
	}
	bd.store.put("config", "main", operatorConfig{version: 3, service: service, tenants: oneTenant("key-1", "key-2")}.spec())
	for i, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		if _, err := bd.addEngine(id, service, zones[i%len(zones)], work); err != nil {
			bd.close()
			return nil, nil, err
		}
	}
	if err := bd.startAll(); err != nil {
		bd.close()
		return nil, nil, err
	}
	return bd, proxies, nil
}

// silenceStore makes the open connections of all instances to the store silent for good. New ones work.
func silenceStore(rec *record, proxies []*proxy) {
	n := 0
	for _, px := range proxies {
		n += px.silence()
	}
	rec.say("%d open connections to the store go silent; new ones work", n)
}

// judgeLate returns broken if requests reached an engine that had left after the given instant.
func judgeLate(rec *record, leaver *engine, goneAt, from time.Time) int {
	late := leaver.arrivalsAfter(from.Add(checkMargin))
	unsafe := 0
	for _, ar := range late {
		rec.log("late: %s (%s) reaches %s %s after the acknowledgement", ar.id, ar.method, ar.engine, ar.at.Sub(goneAt).Round(time.Millisecond))
		if ar.method == http.MethodPost {
			unsafe++
		}
	}
	rec.say("%d requests reached %s too late, %d of them unsafe; when it ended, it broke off %d unsafe ones", len(late), leaver.id, unsafe, leaver.brokenOff())
	if len(late) == 0 {
		return held
	}
	rec.say("the last of them %s after the acknowledgement", late[len(late)-1].at.Sub(goneAt).Round(time.Millisecond))
	return broken
}

// playSilentStore removes the entry of an engine, which serves on and ends, right after the open connections to the store went silent.
func playSilentStore(rec *record, trouble bool) (int, error) {
	bd, proxies, err := newSmallBed(rec)
	if err != nil {
		return notRun, err
	}
	defer bd.close()
	cs := &clients{bed: bd, key: func() string { return "key-1" }}
	cs.run(24, 120*time.Millisecond)
	time.Sleep(6 * time.Second)
	// One engine is replaced: the new one starts first.
	if _, err := bd.addEngine("i-5", service, zones[0], work); err != nil {
		return notRun, err
	}
	time.Sleep(50 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		silenceStore(rec, proxies)
	}
	time.Sleep(50 * time.Millisecond)
	leaver := bd.engines[0]
	goneAt := bd.store.remove("servers", leaver.id)
	rec.say("the store acknowledges that %s is gone; it serves on for drain_ms and 1.4 s", leaver.id)
	time.Sleep(drainBound + 1400*time.Millisecond)
	leaver.stop()
	rec.say("%s ends", leaver.id)
	time.Sleep(2 * time.Second)
	cs.stop()
	from := goneAt.Add(drainBound)
	if inTouch := silentAt.Add(contactBound); inTouch.After(from) {
		from = inTouch
	}
	return judgeLate(rec, leaver, goneAt, from), nil
}

// playRestart restarts an instance and replaces engines, both as planned, shortly after the open connections to the store went silent.
func playRestart(rec *record, trouble bool) (int, error) {
	bd, proxies, err := newSmallBed(rec)
	if err != nil {
		return notRun, err
	}
	defer bd.close()
	cs := &clients{bed: bd, key: func() string { return "key-1" }}
	cs.run(24, 120*time.Millisecond)
	time.Sleep(4 * time.Second)
	restarted := bd.instances[2]
	rec.say("%s gets SIGTERM", restarted.name)
	_ = restarted.cmd.Process.Signal(syscall.SIGTERM)
	<-restarted.exited
	rec.say("%s has ended", restarted.name)
	// Engines are replaced one after the other. The first new one starts.
	if _, err := bd.addEngine("i-5", service, zones[1], work); err != nil {
		return notRun, err
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		silenceStore(rec, proxies)
	}
	// After this time the other instances have found new connections to the store.
	time.Sleep(1900 * time.Millisecond)
	leaver := bd.engines[0]
	goneAt := bd.store.remove("servers", leaver.id)
	rec.say("the store acknowledges that %s is gone; it serves on", leaver.id)
	listed := make(chan struct{}, 1)
	bd.store.watchLists(func(kind string) {
		if kind != "servers" {
			return
		}
		select {
		case listed <- struct{}{}:
		default:
		}
	})
	startedAt := time.Now()
	if err := bd.start(restarted, false); err != nil {
		return notRun, err
	}
	select {
	case <-listed:
	case <-time.After(10 * time.Second):
	}
	rec.say("%s lists the engines %s after its start", restarted.name, time.Since(startedAt).Round(time.Millisecond))
	time.Sleep(350 * time.Millisecond)
	// The next new engine starts.
	if _, err := bd.addEngine("i-6", service, zones[0], work); err != nil {
		return notRun, err
	}
	rec.say("the next new engine is in the store")
	if err := restarted.waitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(12 * time.Second)
	cs.stop()
	from := goneAt.Add(drainBound)
	if inTouch := startedAt.Add(contactBound); inTouch.After(from) {
		from = inTouch
	}
	return judgeLate(rec, leaver, goneAt, from), nil
}
