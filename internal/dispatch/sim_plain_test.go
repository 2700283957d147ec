package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	plainTargets = 3
	plainSlots   = 6
	// meanServiceTime is the mean time that a simulated plain target takes for a request.
	meanServiceTime = 100 * time.Millisecond
	plainObjective  = 250 * time.Millisecond
	// maxPlainWait is shorter than 0.8 of the objective less the longest mean of the service time that is learned.
	maxPlainWait = 80 * time.Millisecond
)

// plainCapacity is the number of requests that all targets serve a second.
const plainCapacity = plainTargets * plainSlots / 0.1

// plainTarget simulates a plain target with a number of slots and a bounded queue. It sheds what exceeds both.
type plainTarget struct {
	mu       sync.Mutex
	admitted int
	slots    chan struct{}
	queue    int
}

// serve serves a request, and reports false if it was shed.
func (pt *plainTarget) serve(d time.Duration) bool {
	pt.mu.Lock()
	if pt.admitted >= plainSlots+pt.queue {
		pt.mu.Unlock()
		return false
	}
	pt.admitted++
	pt.mu.Unlock()
	pt.slots <- struct{}{}
	time.Sleep(d)
	<-pt.slots
	pt.mu.Lock()
	pt.admitted--
	pt.mu.Unlock()
	return true
}

// plainPattern is a service under bursts of at-most-once requests.
type plainPattern struct {
	instances, targetQueue int
	// burst is the duration of a burst at 1.5 times the capacity, and of the time at 0.3 times the capacity after it.
	burst time.Duration
	queue bool
}

// plainCounts counts requests by outcome.
type plainCounts struct {
	mu                                 sync.Mutex
	total, inTime, late, shed, refused int
	// shedEarly is the number of those shed that could still have waited.
	shedEarly int
}

func (pc *plainCounts) String() string {
	return fmt.Sprintf("requests %d, in time %d, late %d, shed %d (%d early), refused %d", pc.total, pc.inTime, pc.late, pc.shed, pc.shedEarly, pc.refused)
}

// plainFleet is a fleet of instances and the plain targets that they share.
type plainFleet struct {
	instances []*simInstance
	targets   map[string]*plainTarget
	counts    plainCounts
}

// simulatePlain runs four bursts in simulated time.
func simulatePlain(t *testing.T, pp plainPattern) *plainCounts {
	t.Helper()
	fl := &plainFleet{targets: map[string]*plainTarget{}}
	synctest.Test(t, func(t *testing.T) {
		for i := range plainTargets {
			fl.targets[id(i)] = &plainTarget{slots: make(chan struct{}, plainSlots), queue: pp.targetQueue}
		}
		for i := range pp.instances {
			in := newSimInstance(t, i, trafficPattern{queue: pp.queue}, func(*simInstance, *dispatch.Options) {})
			for j := range plainTargets {
				tg := targets.Target{ID: id(j), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", j), AvailabilityZone: zone, Slots: plainSlots}
				in.directory.ApplyChanges([]targets.EntryChange{{Name: tg.ID, Target: tg}}, position.Position{}, time.Now())
			}
			fl.instances = append(fl.instances, in)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var background, requests sync.WaitGroup
		sf := &simFleet{instances: fl.instances}
		background.Go(func() { sf.exchangeLoads(ctx) })
		background.Go(func() { sf.exchangeQueues(ctx) })
		rd := rand.New(rand.NewPCG(1, 0))
		for phase := range 8 {
			rate := []float64{1.5, 0.3}[phase%2] * plainCapacity
			for over := time.Now().Add(pp.burst); time.Now().Before(over); time.Sleep(time.Millisecond) {
				if rd.Float64() < rate*time.Millisecond.Seconds() {
					in := fl.instances[rd.IntN(len(fl.instances))]
					serviceTime := time.Duration((0.6 + 0.8*rd.Float64()) * float64(meanServiceTime))
					requests.Go(func() { fl.serveOnce(in, serviceTime) })
				}
			}
		}
		requests.Wait()
		cancel()
		background.Wait()
	})
	t.Logf("%+v: %s", pp, &fl.counts)
	return &fl.counts
}

// serveOnce sends a request that may run only once.
func (fl *plainFleet) serveOnce(in *simInstance, serviceTime time.Duration) {
	rq := plainRequest()
	rq.ID = fmt.Sprint("request-", requestIDs.Add(1))
	rq.Objective, rq.Deadline, rq.Caution = plainObjective, rq.Arrived.Add(1500*time.Millisecond), targets.RequireHealthy
	sl, err := in.Acquire(context.Background(), rq)
	served := false
	if err == nil {
		if served = fl.targets[sl.Target.ID].serve(serviceTime); !served {
			sl.RecordShed("")
		}
		sl.Release()
	}
	fl.counts.mu.Lock()
	defer fl.counts.mu.Unlock()
	fl.counts.total++
	switch {
	case err != nil:
		fl.counts.refused++
	case !served:
		fl.counts.shed++
		if time.Since(rq.Arrived) < maxPlainWait {
			fl.counts.shedEarly++
		}
	case time.Since(rq.Arrived) <= plainObjective:
		fl.counts.inTime++
	default:
		fl.counts.late++
	}
}

// TestSimulatedBurstOfPlainRequests guards against at-most-once requests that are sent to a target without room and shed, although a slot
// becomes free while they can wait. Where instances choose the same slot before they know of each other, some are still shed.
func TestSimulatedBurstOfPlainRequests(t *testing.T) {
	tests := map[string]struct {
		plainPattern

		// maxShedEarly is how many that could have waited may be shed, as a share of those that are shed without the queue.
		maxShedEarly float64
	}{
		"one instance, targets do not queue": {plainPattern{instances: 1, burst: 250 * time.Millisecond}, 0},
		"nine instances, targets queue two":  {plainPattern{instances: 9, targetQueue: 2, burst: 250 * time.Millisecond}, 0.5},
		"72 instances, targets queue two":    {plainPattern{instances: 72, targetQueue: 2, burst: 250 * time.Millisecond}, 0.6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pp := tc.plainPattern
			without := simulatePlain(t, pp)
			pp.queue = true
			with := simulatePlain(t, pp)
			g.Expect(float64(with.shedEarly)).To(BeNumerically("<=", tc.maxShedEarly*float64(without.shedEarly)))
			g.Expect(with.inTime).To(BeNumerically(">", without.inTime))
		})
	}
}
