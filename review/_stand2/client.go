package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id, instance, path string
	unsafe             bool
	sentAt             time.Time
	took               time.Duration
	status             int
	err                error
	signature          string
	whole              bool
}

// clients send requests to the instances in turn, each on connections of its own.
type clients struct {
	bed *bed
	key func() string
	// thing returns what the next safe request is about; nil for always the same.
	thing   func() string
	mu      sync.Mutex
	answers []answer
	stopped atomic.Bool
	wg      sync.WaitGroup
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and records its answer.
func (cs *clients) send(hc *http.Client, in *instance, unsafe bool, key string) answer {
	an := answer{id: newID(), instance: in.name, unsafe: unsafe, sentAt: time.Now()}
	method, path := http.MethodGet, safePrefix+"2f"
	if cs.thing != nil {
		path = safePrefix + cs.thing()
	}
	var body io.Reader
	if unsafe {
		method, path = http.MethodPost, unsafePrefix+"2f"
		// Two unsafe requests are never the same.
		body = bytes.NewReader(bytes.Repeat([]byte(an.id), 40))
	}
	an.path = path
	req, err := http.NewRequest(method, "http://"+in.callers+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", an.id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := hc.Do(req)
	if err == nil {
		an.status, an.signature = resp.StatusCode, resp.Header.Get("X-Engine-Signature")
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		an.whole = err == nil
	}
	an.err, an.took = err, time.Since(an.sentAt)
	cs.mu.Lock()
	cs.answers = append(cs.answers, an)
	cs.mu.Unlock()
	cs.bed.rec.log("%s %s to %s: %d %v after %s", an.id, an.path, an.instance, an.status, errText(an.err), an.took.Round(time.Millisecond))
	return an
}

func errText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}, Timeout: 6 * time.Second}
}

// run starts n clients, each of which sends a request every interval, every second of them unsafe.
func (cs *clients) run(n int, interval time.Duration) {
	for i := range n {
		cs.wg.Go(func() {
			hc := newHTTPClient()
			in := cs.bed.instances[i%len(cs.bed.instances)]
			time.Sleep(time.Duration(i) * interval / time.Duration(n))
			for k := 0; !cs.stopped.Load(); k++ {
				next := time.Now().Add(interval)
				cs.send(hc, in, k%2 == 1, cs.key())
				time.Sleep(time.Until(next))
			}
		})
	}
}

func (cs *clients) stop() {
	cs.stopped.Store(true)
	cs.wg.Wait()
}
