package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// resetShare is the share of the connections that a reset takes.
	resetShare      = 0.55
	maxAttempts     = 2
	parallelPrompts = 16
	allowedBeyond   = 3
)

// longAnswer is a prompt whose answer takes six seconds.
var longAnswer = usage{prompt: 4960, answer: 60 * eventTokens}

// resetConnections resets a share of the open connections of an engine, which goes on serving.
func (me *modelEngine) resetConnections(share float64) {
	me.mu.Lock()
	var open []net.Conn
	for nc := range me.conns {
		open = append(open, nc)
	}
	me.mu.Unlock()
	n := int(share*float64(len(open)) + 0.5)
	me.bd.note("%d of %d connections of engine %d are reset", n, len(open), me.no)
	for _, nc := range open[:n] {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// publish writes the entry of the engine's incarnation.
func (me *modelEngine) publish(state string) error {
	me.mu.Lock()
	id := me.id
	me.mu.Unlock()
	me.bd.note("engine %s says that it is %s", id, state)
	return me.bd.put("servers", id, object{
		"service": "engines", "address": me.address, "zone": fmt.Sprintf("z%d", me.no%3+1), "version": "1", "slots": 16, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	})
}

// tooManyEngines resets connections twice, and lets an engine drain in between.
func tooManyEngines(bd *bed) error {
	first, err := startModelEngine(bd, 0)
	if err != nil {
		return err
	}
	if _, err := bd.configure([]route{{name: "stream", kind: "streaming", service: "engines", timeout: 15 * time.Second, objective: 6 * time.Second, attempts: maxAttempts, resumable: true}},
		[]object{modelService("engines")}, map[string][]string{"t1": {"key1"}}); err != nil {
		return err
	}
	ins, err := bd.newInstances("z1", "z2", "z3")
	if err != nil {
		return err
	}
	if err := bd.runAll(); err != nil {
		return err
	}
	time.Sleep(leadTime)
	var wg sync.WaitGroup
	for n := range parallelPrompts {
		id := fmt.Sprintf("%016x", 0xe0000+n)
		bd.note("client sends %s to %s", id, ins[0].name)
		wg.Go(func() {
			an := send(ins[0].callers, "/stream/"+id, id, "key1", longAnswer, 15*time.Second)
			bd.note("client got status %d for %s, error %v", an.status, id, an.err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	engines := []*modelEngine{first}
	for no := 1; no < 4; no++ {
		me, err := startModelEngine(bd, no)
		if err != nil {
			return err
		}
		engines = append(engines, me)
	}
	time.Sleep(2500 * time.Millisecond)
	if bd.trouble {
		first.resetConnections(resetShare)
		time.Sleep(300 * time.Millisecond)
		if err := first.publish("draining"); err != nil {
			return err
		}
		time.Sleep(time.Second)
		for _, me := range engines[1:] {
			me.resetConnections(resetShare)
		}
	}
	wg.Wait()
	return judgeAttempts(bd, engines)
}

// judgeAttempts counts the requests that ran on more engines than their route allows. No engine has ended.
func judgeAttempts(bd *bed, engines []*modelEngine) error {
	ranOn := map[string]int{}
	for _, me := range engines {
		me.mu.Lock()
		for id := range me.runs {
			ranOn[id]++
		}
		me.mu.Unlock()
	}
	if len(ranOn) == 0 {
		return errors.New("no request ran")
	}
	beyond := 0
	for id, n := range ranOn {
		if n > maxAttempts {
			beyond++
			bd.note("%s ran on %d engines", id, n)
		}
	}
	if beyond > allowedBeyond {
		return fmt.Errorf("%w: %d requests ran on more than %d engines", errBroken, beyond, maxAttempts)
	}
	return nil
}
