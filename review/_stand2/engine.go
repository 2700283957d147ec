package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	engine, id, tenant, method, path string
	at                               time.Time
	// ran is unset for a request that was rejected.
	ran bool
}

// engine is a stand-in of a server of a plain service.
type engine struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration
	server                     *http.Server
	rec                        *record

	mu       sync.Mutex
	arrivals []arrival
	// running counts the requests under way, by path.
	running map[string]int
	// cut holds the arrivals whose runs were broken off.
	cut []arrival
}

func startEngine(id, service, zone string, work time.Duration, rec *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	en := &engine{id: id, service: service, zone: zone, slots: 16, work: work, rec: rec, running: map[string]int{}, address: l.Addr().String()}
	en.server = &http.Server{Handler: http.HandlerFunc(en.serve)}
	go func() { _ = en.server.Serve(l) }()
	return en, nil
}

// entry is what the engine writes into the store.
func (en *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": en.service, "address": en.address, "zone": en.zone, "version": "v1", "slots": en.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 0,
	}
}

func (en *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", en.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ar := arrival{engine: en.id, id: r.Header.Get("X-Attempt-Id"), tenant: r.Header.Get("X-Tenant"), method: r.Method, path: r.URL.Path, at: time.Now()}
	w.Header().Set("X-Attempt-Id", ar.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != en.id {
		en.record(ar)
		w.Header().Set("X-Instance-Id", en.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ar.ran = true
	en.record(ar)
	en.addRunning(ar.path, 1)
	defer en.addRunning(ar.path, -1)
	select {
	case <-time.After(en.work):
	case <-r.Context().Done():
		en.mu.Lock()
		en.cut = append(en.cut, ar)
		en.mu.Unlock()
		return
	}
	w.Header().Set("X-Engine-Signature", en.id+"."+ar.id)
	_, _ = fmt.Fprintf(w, "done %s by %s, %d bytes\n", ar.id, en.id, len(body))
}

func (en *engine) record(ar arrival) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.arrivals = append(en.arrivals, ar)
	en.rec.log("%s reaches %s, %s, tenant %q, runs=%t", ar.id, ar.engine, ar.method, ar.tenant, ar.ran)
}

func (en *engine) addRunning(path string, n int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running[path] += n
}

// runs reports whether a request for a path is under way.
func (en *engine) runs(path string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.running[path] > 0
}

// arrivalsAfter returns the arrivals after an instant.
func (en *engine) arrivalsAfter(at time.Time) []arrival {
	en.mu.Lock()
	defer en.mu.Unlock()
	var late []arrival
	for _, ar := range en.arrivals {
		if ar.at.After(at) {
			late = append(late, ar)
		}
	}
	return late
}

// brokenOff returns how many runs of unsafe requests were broken off.
func (en *engine) brokenOff() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	n := 0
	for _, ar := range en.cut {
		if ar.method == http.MethodPost {
			n++
		}
	}
	return n
}

// stop ends the engine as a process that exits: its listener and its connections are closed.
func (en *engine) stop() { _ = en.server.Close() }
