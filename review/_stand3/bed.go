package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/modelsim"
	"github.com/silvermount/silvermount/internal/standin/objectsim"
	"github.com/silvermount/silvermount/internal/standin/plainsim"
)

// object is the content of a JSON object.
type object = map[string]any

// The deployment follows the sheet of tywi-cyfeiriad: 18 model engines with 16 slots, 3 engines of a plain service with 6 slots and 60 ms of
// work, three availability zones. There are three instances.
const (
	plainEngines  = 3
	plainSlots    = 6
	plainQueue    = 24
	plainWork     = 60 * time.Millisecond
	modelEngines  = 18
	instanceCount = 3
	maxAttempts   = 2
	routeHost     = "cases.example"
	tenantKey     = "key-of-the-tenant"
	// heartbeat is the interval at which engines write their entries. An entry goes after three of them without a write.
	heartbeat = 1200 * time.Millisecond
	// tokensPerEvent, prefillPerToken and eventInterval give an answer of 1,376 tokens 32 events in about 1.5 s.
	tokensPerEvent  = 43
	prefillPerToken = 5 * time.Microsecond
	eventInterval   = 45 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bed is the deployment of one case: a store, engines and instances.
type bed struct {
	rec       *record
	dir       string
	store     *objectsim.Sim
	plain     []*plainsim.Service
	cluster   *modelsim.Cluster
	instances []*instance

	mu sync.Mutex
	// models are the present model engines, allModels every one that was started, and ended holds when some of them ended, by their ids.
	models, allModels []*modelsim.Engine
	ended             map[string]time.Time
}

func newBed(rec *record) *bed {
	return &bed{rec: rec, cluster: modelsim.NewCluster(), ended: map[string]time.Time{}}
}

// start starts everything and waits until the instances are ready.
func (bd *bed) start() error {
	var err error
	if bd.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		return err
	}
	if bd.store, err = objectsim.Start(); err != nil {
		return err
	}
	for no := range plainEngines {
		sv, err := plainsim.Start(plainsim.WithSlots(plainSlots, plainQueue), plainsim.WithServiceTime(plainWork))
		if err != nil {
			return err
		}
		bd.plain = append(bd.plain, sv)
		bd.publish(sv.InstanceID(), "plain", sv.Address(), plainSlots, no, "ready")
	}
	for no := range modelEngines {
		en, err := bd.startModel()
		if err != nil {
			return err
		}
		bd.models = append(bd.models, en)
		bd.publishModel(en, no, "ready")
	}
	if _, err := bd.store.PutSpec("config", "main", configuration()); err != nil {
		return err
	}
	return bd.startInstances()
}

// startModel starts another model engine.
func (bd *bed) startModel() (*modelsim.Engine, error) {
	en, err := modelsim.Start(
		modelsim.WithTimings(prefillPerToken, eventInterval), modelsim.WithCluster(bd.cluster),
		func(se *modelsim.Settings) { se.TokensPerEvent = tokensPerEvent },
	)
	if err != nil {
		return nil, err
	}
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.allModels = append(bd.allModels, en)
	return en, nil
}

// publish writes the entry of an engine.
func (bd *bed) publish(id, service, address string, slots, no int, state string) {
	_, err := bd.store.PutSpec("servers", id, object{
		"service": service, "address": address, "zone": zones[no%len(zones)], "version": "1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		bd.rec.say("cannot publish engine %s: %v", id, err)
	}
}

func (bd *bed) publishModel(en *modelsim.Engine, no int, state string) {
	bd.publish(en.InstanceID(), "model", en.Address(), 16, no, state)
}

// configuration has a route for valve location queries and one for caller address matches, with the figures of the sheet.
func configuration() object {
	return object{
		"version": 4,
		"routes": []object{
			{
				"name": "lookup", "hostname": routeHost, "path_prefix": "/lookup/", "type": "safe", "service": "plain",
				"timeout_ms": 4000, "slo_ms": 300, "priority": 1, "max_attempts": maxAttempts, "public": false,
			},
			{
				"name": "chat", "hostname": routeHost, "path_prefix": "/chat/", "type": "streaming", "service": "model", "stream_resume": true,
				"timeout_ms": 10000, "slo_ms": 300, "gap_aim_ms": 250, "priority": 1, "max_attempts": maxAttempts, "public": false,
				"session_affinity": true,
			},
		},
		"services": []object{
			{"name": "plain", "max_connections": 96}, {"name": "model", "max_connections": 264, "engine": modelFigures},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "tenant", "api_keys": []string{tenantKey}}},
	}
}

// modelFigures are the performance figures of the model engines.
var modelFigures = object{
	"slots": 16, "kv_tokens": 232000, "stride": tokensPerEvent, "chunk": 2048, "step_ms": 1.02, "per_seq_ms": 0.00226,
	"context_per_k": 0.00431, "hop_ms": 0.075, "pairs_per_m": 0.138, "read_per_s": 206000,
	"usual": object{"prompt": 4960, "answer": 1376}, "delays": []object{{"delay_ms": 0.5}},
}

// close ends everything that the case started.
func (bd *bed) close() {
	for _, in := range bd.instances {
		in.kill()
	}
	for _, sv := range bd.plain {
		sv.Close()
	}
	for _, en := range bd.allModels {
		en.Close()
	}
	if bd.store != nil {
		bd.store.Close()
	}
	if bd.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(bd.dir) // a folder that is left behind does no harm
	}
}

// countStatuses returns the answers of clients by status; 0 stands for none or an incomplete one.
func countStatuses(answers []answer) string {
	counts := map[int]int{}
	for _, an := range answers {
		counts[an.status]++
	}
	return fmt.Sprint(counts)
}
