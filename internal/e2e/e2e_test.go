// Package e2e holds end-to-end tests of a local fleet over HTTP.
package e2e

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

// closeTimeout bounds the shutdown of a fleet at the end of a test.
const closeTimeout = 10 * time.Second

func discardLogger() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// startFleet starts a fleet without logs, which stops at the end of the test.
func startFleet(t *testing.T, o localfleet.Options) *localfleet.Fleet {
	t.Helper()
	o.Log = discardLogger()
	lf, err := localfleet.Start(t.Context(), o)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		// The context of the test has already ended when its cleanups run.
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		lf.Close(ctx)
	})
	return lf
}

// fastEngines returns the default parameters of simulated engines that run faster by a factor of scale.
func fastEngines(scale float64) enginesim.Params {
	p := enginesim.DefaultParams()
	p.Speedup = scale
	return p
}

func loadTarget(lf *localfleet.Fleet, seed uint64) load.Options {
	return load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: seed}
}

func TestPromptsLargerThanOneEngineComplete(t *testing.T) {
	tests := map[string]struct {
		policy      string
		engines     int
		hugePrompts int
	}{
		"two at once": {policy: lanegrant.Name, engines: 6, hugePrompts: 2},
		"more at once than fit, policy independent of load views": {policy: roundrobin.Name, engines: 6, hugePrompts: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: tc.engines, Instances: 2, EngineParams: fastEngines(400), Policy: tc.policy})
			var hugePrompts []load.Arrival
			for i := range tc.hugePrompts {
				hugePrompts = append(hugePrompts,
					load.Arrival{Class: localfleet.ClassBatch, PromptTokens: 900_000 + 10_000*i, OutputTokens: 4, Index: 2 * i},
					load.Arrival{Class: localfleet.ClassBatch, PromptTokens: 300_000, OutputTokens: 4, Index: 2*i + 1})
			}
			for _, r := range load.Run(t.Context(), loadTarget(lf, 1), hugePrompts) {
				g.Expect(r.Correct).To(BeTrue(), "%+v", r)
			}
			for _, en := range lf.Engines {
				g.Eventually(en.MemoryUsed, 5*time.Second).Should(BeZero(), en.Name)
			}
		})
	}
}

// TestLargePromptCompletesDespiteDeadEngine kills the engine whose memory would be reserved first.
func TestLargePromptCompletesDespiteDeadEngine(t *testing.T) {
	g := NewWithT(t)
	lf := startFleet(t, localfleet.Options{Zones: 3, Engines: 7, Instances: 3, EngineParams: fastEngines(400)})
	lf.Engines[0].Kill()
	// Index 1 goes to an instance in another availability zone, which the engine's owner does not notify of its failure.
	hugePrompts := []load.Arrival{{Class: localfleet.ClassBatch, PromptTokens: 900_000, OutputTokens: 4, Index: 1}}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for _, r := range load.Run(ctx, loadTarget(lf, 1), hugePrompts) {
		g.Expect(r.Correct).To(BeTrue(), "%+v", r)
	}
	for _, en := range lf.Engines[1:] {
		g.Eventually(en.MemoryUsed, 5*time.Second).Should(BeZero(), en.Name)
	}
}
