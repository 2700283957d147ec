// Package session holds tests of whole sessions through the real HTTP path.
package session

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/load"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/policy/lanegrant"
	"github.com/silvermount/silvermount/internal/policy/roundrobin"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

const stopWait = 10 * time.Second

func quiet() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

func start(t *testing.T, o localfleet.Options) *localfleet.Fleet {
	t.Helper()
	o.Log = quiet()
	lf, err := localfleet.Start(t.Context(), o)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		// The test's own context has ended by now.
		ctx, cancel := context.WithTimeout(context.Background(), stopWait)
		defer cancel()
		lf.Close(ctx)
	})
	return lf
}

func fast(scale float64) enginesim.Params {
	p := enginesim.DefaultParams()
	p.Speedup = scale
	return p
}

func target(lf *localfleet.Fleet, seed uint64) load.Target {
	return load.Target{URLs: lf.URLs(), Key: localfleet.Key, Model: localfleet.Model, Seed: seed}
}

func TestPromptsLargerThanOneEngine(t *testing.T) {
	tests := map[string]struct {
		policy  string
		engines int
		giants  int
	}{
		"two at once": {policy: lanegrant.Name, engines: 6, giants: 2},
		"more than fit, views that do not matter": {policy: roundrobin.Name, engines: 6, giants: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 1, Engines: tc.engines, Instances: 2, Params: fast(400), Policy: tc.policy})
			var giants []load.Arrival
			for i := range tc.giants {
				giants = append(giants,
					load.Arrival{Class: localfleet.ClassBatch, Tokens: 900_000 + 10_000*i, Output: 4, Index: 2 * i},
					load.Arrival{Class: localfleet.ClassBatch, Tokens: 300_000, Output: 4, Index: 2*i + 1})
			}
			for _, r := range load.Run(t.Context(), target(lf, 1), giants) {
				g.Expect(r.Right).To(BeTrue(), "%+v", r)
			}
			for _, en := range lf.Engines {
				g.Eventually(en.MemoryUsed, 5*time.Second).Should(BeZero(), en.Name)
			}
		})
	}
}

// TestLargePromptBesideADeadEngine kills the engine whose room would be reserved first.
func TestLargePromptBesideADeadEngine(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 3, Engines: 7, Instances: 3, Params: fast(400)})
	lf.Engines[0].Kill()
	// Index 1 goes to an instance in another availability zone, which is not told by the owner that the engine is down.
	giant := []load.Arrival{{Class: localfleet.ClassBatch, Tokens: 900_000, Output: 4, Index: 1}}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for _, r := range load.Run(ctx, target(lf, 1), giant) {
		g.Expect(r.Right).To(BeTrue(), "%+v", r)
	}
	for _, en := range lf.Engines[1:] {
		g.Eventually(en.MemoryUsed, 5*time.Second).Should(BeZero(), en.Name)
	}
}
