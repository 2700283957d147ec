package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one attempt of a client.
type call struct {
	method, path, deadlineMS string
	// promptParts is empty for requests without a prompt.
	promptParts string
	body        string
}

// answer is what a client got for one attempt.
type answer struct {
	// status is zero without a complete answer.
	status int
	// signed is set if the answer comes from an engine.
	signed bool
}

// clients sends attempts at a steady rate, each with an id of its own, and keeps the answers. They keep their connections.
type clients struct {
	bd   *bed
	http *http.Client

	mu      sync.Mutex
	answers []answer
	// takers holds the instance that each attempt was sent to, by its id.
	takers map[string]*instance
}

// clientTimeout is beyond every deadline.
const clientTimeout = 12 * time.Second

func newClients(bd *bed) *clients {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &clients{bd: bd, http: &http.Client{Timeout: clientTimeout, Transport: tr}, takers: map[string]*instance{}}
}

// run sends perSecond attempts a second for a time, and waits for the answers.
func (cs *clients) run(perSecond float64, length time.Duration, callOf func(no int) call) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for no := range int(perSecond * length.Seconds()) {
		<-tick.C
		wg.Go(func() { cs.send(no, callOf(no)) })
	}
}

// instanceFor returns the instance for an attempt: the platform sends no client to one that is not ready.
func (cs *clients) instanceFor(no int) *instance {
	all := cs.bd.instances
	for i := range all {
		if in := all[(no+i)%len(all)]; in.up.Load() {
			return in
		}
	}
	return all[no%len(all)]
}

// send sends one attempt and records its answer.
func (cs *clients) send(no int, ca call) {
	in := cs.instanceFor(no)
	id := fmt.Sprintf("attempt-%06d", no)
	cs.mu.Lock()
	cs.takers[id] = in
	cs.mu.Unlock()
	an, text := cs.exchange(in, id, ca)
	cs.bd.rec.log("%s %s %s at %s: %s", id, ca.method, ca.path, in.name, text)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.answers = append(cs.answers, an)
}

// exchange sends one attempt to an instance and returns the answer, also as text.
func (cs *clients) exchange(in *instance, id string, ca call) (answer, string) {
	req, err := http.NewRequest(ca.method, "http://"+in.callers+ca.path, strings.NewReader(ca.body))
	if err != nil {
		return answer{}, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", ca.deadlineMS)
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	if ca.promptParts != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "4960,1376")
		req.Header.Set("X-Prompt-Prefix", ca.promptParts)
	}
	resp, err := cs.http.Do(req)
	if err != nil {
		return answer{}, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, fmt.Sprintf("status %d, incomplete: %v", resp.StatusCode, err)
	}
	signature := resp.Header.Get("X-Engine-Signature")
	text := fmt.Sprintf("status %d, signature %q, %d bytes", resp.StatusCode, signature, len(b))
	if signature == "" {
		text += fmt.Sprintf(", body %q", b)
	}
	return answer{status: resp.StatusCode, signed: signature != ""}, text
}
