package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelEngines = 18
	// leadTime is the time from the start of the machines to that of the traffic, firstCrash the time from there to the first crash.
	leadTime      = 10 * time.Second
	firstCrash    = 500 * time.Millisecond
	crashes       = 3
	crashInterval = 250 * time.Millisecond
	afterCrashes  = 4 * time.Second
	// promptInterval is the time between two prompts at one instance.
	promptInterval = 250 * time.Millisecond
	// eventTokens is how many tokens of an answer one event holds, eventTime how long an engine writes at them.
	eventTokens = 43
	eventTime   = 100 * time.Millisecond
	// engineDowntime is how long an engine that crashed is down, and entryLapse how long its old entry stays: three heartbeats.
	engineDowntime = 3 * time.Second
	entryLapse     = 3600 * time.Millisecond
)

// longPrompt is a prompt that an engine reads for more than two seconds.
var longPrompt = usage{prompt: 45000, answer: 800}

// modelEngine is a sound stand-in of a model engine that can crash: its connections are reset, and its address refuses new ones until it
// starts again as a new incarnation.
type modelEngine struct {
	bd      *bed
	no      int
	address string

	mu    sync.Mutex
	id    string
	lives int
	srv   *http.Server
	conns map[net.Conn]struct{}
	runs  map[string]int
}

func startModelEngine(bd *bed, no int) (*modelEngine, error) {
	me := &modelEngine{bd: bd, no: no, conns: map[net.Conn]struct{}{}, runs: map[string]int{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	me.address = ln.Addr().String()
	bd.onClose(func() {
		me.mu.Lock()
		defer me.mu.Unlock()
		_ = me.srv.Close()
	})
	return me, me.live(ln)
}

// live begins a new incarnation on a listener and writes its entry.
func (me *modelEngine) live(ln net.Listener) error {
	me.mu.Lock()
	me.lives++
	me.id = fmt.Sprintf("i-%d-%d", me.no, me.lives)
	me.srv = &http.Server{
		Handler: http.HandlerFunc(me.serve),
		ConnState: func(nc net.Conn, st http.ConnState) {
			me.mu.Lock()
			defer me.mu.Unlock()
			switch st {
			case http.StateNew:
				me.conns[nc] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(me.conns, nc)
			}
		},
	}
	srv := me.srv
	me.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return me.publish("ready")
}

// crash ends the incarnation at once, and starts the next one after a while.
func (me *modelEngine) crash() {
	me.mu.Lock()
	old := me.id
	srv := me.srv
	var open []net.Conn
	for nc := range me.conns {
		open = append(open, nc)
	}
	me.conns = map[net.Conn]struct{}{}
	me.mu.Unlock()
	for _, nc := range open {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	_ = srv.Close()
	for _, nc := range open {
		_ = nc.Close()
	}
	me.bd.note("engine %s crashes with %d connections", old, len(open))
	time.AfterFunc(entryLapse, func() { me.bd.store.Remove("servers", old) })
	time.AfterFunc(engineDowntime, func() {
		ln, err := net.Listen("tcp", me.address)
		if err != nil {
			me.bd.note("engine %d cannot start again: %v", me.no, err)
			return
		}
		if err := me.live(ln); err == nil {
			me.bd.note("engine %d is back", me.no)
		}
	})
}

func (me *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	me.mu.Lock()
	id := me.id
	me.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/order" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(object{"free": 232000})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	me.mu.Lock()
	me.runs[attempt]++
	me.mu.Unlock()
	me.bd.note("engine %s runs %s", id, attempt)
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &first); err == nil {
			first++
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Engine-Signature", "sig."+id+"."+attempt)
	var us usage
	if _, err := fmt.Sscanf(r.Header.Get("X-Token-Usage"), "%d,%d", &us.prompt, &us.answer); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rc := http.NewResponseController(w)
	time.Sleep(time.Duration(us.prompt) * time.Second / readRate)
	for n := first; n < us.answer/eventTokens; n++ {
		time.Sleep(eventTime)
		if _, err := io.WriteString(w, event(n)); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
	}
}

// deniedPrompts lets engines crash one after the other while the first long prompts are read.
func deniedPrompts(bd *bed) error {
	var engines []*modelEngine
	for no := range modelEngines {
		me, err := startModelEngine(bd, no)
		if err != nil {
			return err
		}
		engines = append(engines, me)
	}
	if _, err := bd.configure([]route{{name: "stream", kind: "streaming", service: "engines", timeout: 15 * time.Second, objective: 6 * time.Second, attempts: 2, resumable: true}},
		[]object{modelService("engines")}, map[string][]string{"t1": {"key1"}}); err != nil {
		return err
	}
	ins, err := bd.newInstances("z1", "z2")
	if err != nil {
		return err
	}
	if err := bd.runAll(); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(leadTime)
	var traffic []*prompts
	for no, in := range ins {
		traffic = append(traffic, startPrompts(bd, in, 0xc0000+0x10000*no))
	}
	time.Sleep(firstCrash)
	for range crashes {
		if bd.trouble {
			anyInUse(engines).crash()
		}
		time.Sleep(crashInterval)
	}
	time.Sleep(afterCrashes)
	var sent, complete, denied int64
	for _, tf := range traffic {
		tf.stop()
		sent, complete, denied = sent+tf.sent.Load(), complete+tf.complete.Load(), denied+tf.denied.Load()
	}
	bd.note("%d prompts, %d of them answered completely, %d answered 400", sent, complete, denied)
	if allowed := 5 + sent/500; denied > allowed {
		return fmt.Errorf("%w: %d of %d proper prompts were answered 400, %d are allowed", errBroken, denied, sent, allowed)
	}
	if complete == 0 {
		return errors.New("no prompt was answered")
	}
	return nil
}

// anyInUse returns a random engine that has connections, since the crash of an idle one disturbs nobody.
func anyInUse(engines []*modelEngine) *modelEngine {
	for _, no := range rand.Perm(len(engines)) {
		me := engines[no]
		me.mu.Lock()
		n := len(me.conns)
		me.mu.Unlock()
		if n > 0 {
			return me
		}
	}
	return engines[0]
}

// prompts is the traffic of the clients of one instance.
type prompts struct {
	sent, complete, denied atomic.Int64
	done                   chan struct{}
	wg                     sync.WaitGroup
}

// startPrompts sends prompts at a steady rate. All have the same 40 shared tokens and a part of their own.
func startPrompts(bd *bed, in *instance, firstID int) *prompts {
	tf := &prompts{done: make(chan struct{})}
	tf.wg.Go(func() {
		tick := time.NewTicker(promptInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
			case <-tf.done:
				return
			}
			id := fmt.Sprintf("%016x", firstID+n)
			tf.wg.Go(func() {
				in.bd.note("client sends %s to %s", id, in.name)
				an := send(in.callers, "/stream/"+id, id, "key1", longPrompt, 15*time.Second)
				tf.sent.Add(1)
				switch {
				case an.err == nil && an.status == http.StatusOK:
					tf.complete.Add(1)
					bd.note("client got the whole answer to %s", id)
				case an.status == http.StatusBadRequest:
					tf.denied.Add(1)
					bd.note("client got 400 for %s: %.150q", id, an.body)
				default:
					bd.note("client got status %d for %s, error %v", an.status, id, an.err)
				}
			})
		}
	})
	return tf
}

func (tf *prompts) stop() {
	close(tf.done)
	tf.wg.Wait()
}
