package main

import (
	"syscall"
	"time"
)

const (
	// awayTime is how long the store is away in the drill.
	awayTime = 300 * time.Millisecond
	// copyAge is about how old its copy is.
	copyAge = 2500 * time.Millisecond
)

// playOlderCopy lets the store come back from a copy that still has the entry of an engine which has left, while an instance is
// restarted as planned.
func playOlderCopy(rec *record, trouble bool) (int, error) {
	bd, _, err := newSmallBed(rec)
	if err != nil {
		return notRun, err
	}
	defer bd.close()
	cs := &clients{bed: bd, key: func() string { return "key-1" }}
	cs.run(30, 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	restarted := bd.instances[2]
	rec.say("%s gets SIGTERM", restarted.name)
	_ = restarted.cmd.Process.Signal(syscall.SIGTERM)
	<-restarted.exited
	rec.say("%s has ended", restarted.name)
	older := bd.store.copy()
	time.Sleep(copyAge / 5)
	leaver := bd.engines[0]
	goneAt := bd.store.remove("servers", leaver.id)
	rec.say("the store acknowledges that %s is gone; it serves on", leaver.id)
	time.Sleep(copyAge * 4 / 5)
	if trouble {
		bd.store.goAway()
		time.Sleep(awayTime)
		bd.store.comeBack(older)
	}
	backAt := time.Now()
	rec.say("the store is there; drill: %t", trouble)
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	if err := bd.start(restarted, false); err != nil {
		return notRun, err
	}
	if err := restarted.waitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	// The engines that live write their entries again, unchanged. That of the leaver goes after three heartbeats of silence.
	time.Sleep(heartbeatLapse - time.Since(backAt))
	if trouble {
		bd.store.remove("servers", leaver.id)
		rec.say("the entry of %s goes again", leaver.id)
	}
	time.Sleep(4 * time.Second)
	cs.stop()
	from := goneAt.Add(drainBound)
	for _, at := range []time.Time{startedAt.Add(contactBound), backAt.Add(contactBound)} {
		if at.After(from) {
			from = at
		}
	}
	return judgeLate(rec, leaver, goneAt, from), nil
}
