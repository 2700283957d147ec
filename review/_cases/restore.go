package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/objectsim"
)

const (
	// copyBefore is how long before the removal of the key the copy was taken, returnAfter how long after it the store comes back from it.
	copyBefore  = 500 * time.Millisecond
	returnAfter = 4500 * time.Millisecond
	storeAway   = 300 * time.Millisecond
	// rewriteAfter is the time from the return until the operator has written the configuration again.
	rewriteAfter = 1500 * time.Millisecond
	// processRestart is the time from the kill of a process to its next start.
	processRestart = 200 * time.Millisecond
	lookupInterval = 20 * time.Millisecond
	lookups        = 100
)

// lookupEngine answers each request at once and records its runs.
type lookupEngine struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]time.Time
}

func startLookupEngine(bd *bed) *lookupEngine {
	le := &lookupEngine{runs: map[string]time.Time{}}
	le.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		le.mu.Lock()
		le.runs[id] = time.Now()
		le.mu.Unlock()
		bd.note("engine runs %s for tenant %s", id, r.Header.Get("X-Tenant"))
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Engine-Signature", "sig."+id)
		fmt.Fprintf(w, "answer to %s", id)
	}))
	bd.onClose(le.Close)
	return le
}

// revokedKey removes a key, lets the store come back from a copy that still has it, and kills all instances at the same time.
func revokedKey(bd *bed) error {
	le := startLookupEngine(bd)
	if err := bd.put("servers", "i-1", object{
		"service": "lookup", "address": le.Listener.Addr().String(), "zone": "z1", "version": "1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	}); err != nil {
		return err
	}
	rts := []route{{name: "safe", kind: "safe", service: "lookup", timeout: 4 * time.Second, objective: 300 * time.Millisecond, attempts: maxAttempts}}
	svs := []object{{"name": "lookup", "max_connections": 96}}
	if _, err := bd.configure(rts, svs, map[string][]string{"t1": {"key1"}, "t2": {"key2"}}); err != nil {
		return err
	}
	ins, err := bd.newInstances("z1", "z2")
	if err != nil {
		return err
	}
	if err := bd.runAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	older := bd.store.Snapshot()
	time.Sleep(copyBefore)
	removal := map[string][]string{"t1": {"key1"}}
	removedAt, err := bd.configure(rts, svs, removal)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		bd.lookUp(ins, removedAt)
	}()
	time.Sleep(time.Until(removedAt.Add(returnAfter - storeAway)))
	if bd.trouble {
		if err := bd.returnFromCopy(ins, older); err != nil {
			return err
		}
		time.Sleep(rewriteAfter)
		bd.version -= 2 // the operator writes the same version again
		if _, err := bd.configure(rts, svs, removal); err != nil {
			return err
		}
	}
	<-done
	le.mu.Lock()
	defer le.mu.Unlock()
	if len(le.runs) > 0 {
		return fmt.Errorf("%w: %d requests ran that were sent with a key more than %s after its removal was acknowledged", errBroken, len(le.runs), revocationBound)
	}
	return nil
}

// returnFromCopy kills all instances while the store is away, lets it come back from an older copy, and starts them again.
func (bd *bed) returnFromCopy(ins []*instance, older objectsim.Snapshot) error {
	bd.note("the store is away")
	bd.store.SetOutage(objectsim.Silent)
	bd.store.DisconnectWatches()
	for _, in := range ins {
		in.kill()
	}
	time.Sleep(storeAway)
	bd.store.Restore(older)
	bd.store.SetOutage(objectsim.NoOutage)
	bd.note("the store is back from a copy that is %s old, era %d", copyBefore+returnAfter, bd.store.Era())
	time.Sleep(processRestart)
	for _, in := range ins {
		if err := in.run(false); err != nil {
			return err
		}
	}
	return nil
}

// lookUp sends requests with the removed key, all of them later than the bound after the removal.
func (bd *bed) lookUp(ins []*instance, removedAt time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range lookups {
		time.Sleep(time.Until(removedAt.Add(revocationBound + time.Duration(n+1)*lookupInterval)))
		id := fmt.Sprintf("%016x", 0xb0000+n)
		in := ins[n%len(ins)]
		wg.Go(func() {
			bd.note("client sends %s with the removed key to %s, %s after the removal was acknowledged", id, in.name, time.Since(removedAt).Round(time.Millisecond))
			an := send(in.callers, "/safe/"+id, id, "key2", shortPrompt, 4*time.Second)
			bd.note("client got status %d for %s, error %v", an.status, id, an.err)
		})
	}
}
