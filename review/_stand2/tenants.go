package main

import (
	"net/http"
	"time"
)

// revokeBound is revoke_ms of the small site.
const revokeBound = 5000 * time.Millisecond

// playLastTenant takes the two keys of the only tenant away, one after the other; with the second one, the tenant goes.
func playLastTenant(rec *record, trouble bool) (int, error) {
	bd, _, err := newSmallBed(rec)
	if err != nil {
		return notRun, err
	}
	defer bd.close()
	config := operatorConfig{version: 5, service: service}
	cs := &clients{bed: bd, key: func() string { return "key-1" }}
	cs.run(12, 200*time.Millisecond)
	time.Sleep(4 * time.Second)
	config.tenants = oneTenant("key-1")
	bd.store.put("config", "main", config.spec())
	rec.say("version 5 without key-2 is acknowledged")
	time.Sleep(1500 * time.Millisecond)
	// Without the trouble, the tenant stays and has no key any more.
	config.version, config.tenants = 6, oneTenant()
	if trouble {
		config.tenants = []map[string]any{}
	}
	ackedAt := bd.store.put("config", "main", config.spec())
	rec.say("version 6 without key-1 is acknowledged; it has %d tenants", len(config.tenants))
	time.Sleep(revokeBound + 500*time.Millisecond)
	hc := newHTTPClient()
	unknown := 0
	for range 20 {
		for _, in := range bd.instances {
			if an := cs.send(hc, in, true, "never-held"); an.status == http.StatusOK {
				unknown++
			}
		}
	}
	cs.stop()
	revoked := 0
	for _, an := range cs.answers {
		if an.sentAt.Sub(ackedAt) > revokeBound && an.status == http.StatusOK {
			revoked++
		}
	}
	rec.say("%d requests with a key that was removed ran although they were sent more than revoke_ms later", revoked-unknown)
	rec.say("%d of 60 requests with a key that no configuration ever held ran", unknown)
	if revoked > 0 {
		return broken, nil
	}
	return held, nil
}
