// Package controlcost measures how the cost of the control plane grows with the size of the fleet, the rate of requests and the size of
// the bundle.
package controlcost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/load"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/peer"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/owners"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

const (
	settleTime  = 500 * time.Millisecond
	measureTime = 4 * time.Second
	stopTimeout = 10 * time.Second
	// minLongTokens is the minimum length of long prompts.
	minLongTokens = 100_000
)

// FleetCost is the cost of the control plane per instance for one size of fleet that serves no requests.
type FleetCost struct {
	Instances int `json:"instances"`
	Targets   int `json:"targets"`
	// MessagesPerSecond and BytesPerSecond are what one instance sends to its peers.
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
	// CoreShare is the CPU time of one instance as a fraction of one core. It includes an equal share of the CPU time of the
	// simulated store and targets.
	CoreShare float64 `json:"core_share"`
	// HeapBytes is the heap and stack memory of one instance. It includes an equal share of that of the simulated store and
	// targets.
	HeapBytes float64 `json:"heap_bytes"`
	// StoreReads and StoreWrites are calls per second of one instance.
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
}

// RequestCost is the peer traffic of one instance for one rate of requests, and the number of requests served correctly.
type RequestCost struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
	Served            int     `json:"served"`
}

// Latency is the time to the first token of short requests on an idle engine, when sent to it directly and through an instance.
type Latency struct {
	DirectP50      time.Duration `json:"direct_p50"`
	DirectP99      time.Duration `json:"direct_p99"`
	ViaInstanceP50 time.Duration `json:"entry_p50"`
	ViaInstanceP99 time.Duration `json:"entry_p99"`
}

// DecisionTime is the mean duration of one routing decision for one size of fleet.
type DecisionTime struct {
	Targets  int           `json:"targets"`
	Peers    int           `json:"peers"`
	Duration time.Duration `json:"decision"`
}

// BundleCost is the size of a bundle and the time to parse it.
type BundleCost struct {
	Organisations int `json:"organisations"`
	// Bytes is the size of the whole bundle. ChangeBytes is how much an instance reads again after one organisation has changed.
	Bytes       int `json:"bytes"`
	ChangeBytes int `json:"change_bytes"`
	// ParseTime is the time to parse and check the whole bundle.
	ParseTime time.Duration `json:"parse"`
}

// Report contains all measurements.
type Report struct {
	FleetCosts    []FleetCost    `json:"points"`
	RequestCosts  []RequestCost  `json:"requests"`
	Latency       Latency        `json:"latency"`
	DecisionTimes []DecisionTime `json:"decisions"`
	BundleCosts   []BundleCost   `json:"bundles"`
}

// Options are the options of the measurements.
type Options struct {
	// Instances are the sizes of fleet to measure, in instances.
	Instances []int
	// Progress receives a line for each measurement.
	Progress io.Writer
	// Log receives the log lines of the instances.
	Log log.Interface
}

// Run takes all measurements. If one fails, it returns those so far with the error.
func Run(ctx context.Context, o Options) (Report, error) {
	var rp Report
	for _, n := range o.Instances {
		fc, err := measureFleet(ctx, o, n)
		if err != nil {
			return rp, errors.Wrapf(err, "measure %d instances", n)
		}
		rp.FleetCosts = append(rp.FleetCosts, fc)
		fmt.Fprintf(o.Progress, "%d instances, %d targets: %.0f messages/s, %.0f bytes/s, %.2f%% of a core, %.1f MB, %.2f reads/s, %.3f writes/s each\n",
			fc.Instances, fc.Targets, fc.MessagesPerSecond, fc.BytesPerSecond, 100*fc.CoreShare, fc.HeapBytes/1e6, fc.StoreReads, fc.StoreWrites)
	}
	for _, rate := range []float64{50, 100, 200, 400} {
		rc, err := measureRequests(ctx, o, rate)
		if err != nil {
			return rp, errors.Wrap(err, "measure requests")
		}
		rp.RequestCosts = append(rp.RequestCosts, rc)
		fmt.Fprintf(o.Progress, "%.0f requests/s over 8 instances: %.0f messages/s, %.0f bytes/s each\n", rc.RequestsPerSecond, rc.MessagesPerSecond, rc.BytesPerSecond)
	}
	var err error
	if rp.Latency, err = measureLatency(ctx, o); err != nil {
		return rp, errors.Wrap(err, "measure latency")
	}
	fmt.Fprintf(o.Progress, "direct p50 %s p99 %s, by an instance p50 %s p99 %s\n",
		rp.Latency.DirectP50, rp.Latency.DirectP99, rp.Latency.ViaInstanceP50, rp.Latency.ViaInstanceP99)
	rp.DecisionTimes = measureDecisions()
	for _, d := range rp.DecisionTimes {
		fmt.Fprintf(o.Progress, "%d targets, %d peers: %s a decision\n", d.Targets, d.Peers, d.Duration)
	}
	rp.BundleCosts, err = measureBundles()
	for _, b := range rp.BundleCosts {
		fmt.Fprintf(o.Progress, "%d organisations: %d bytes, %d read when one changes, %s to take in\n", b.Organisations, b.Bytes, b.ChangeBytes, b.ParseTime)
	}
	return rp, err
}

// useProductionIntervals replaces the short heartbeat and report intervals of a local fleet by the defaults, and sets a registration
// interval of 5 s.
func useProductionIntervals(s *config.Settings) {
	s.Peers.Heartbeat, s.Routing.ReportEvery = 0, 0
	s.Platform.Registration = config.Duration(5 * time.Second)
}

func measureFleet(ctx context.Context, o Options, n int) (FleetCost, error) {
	fc := FleetCost{Instances: n, Targets: 4 * n}
	runtime.GC()
	heapBefore := heapBytes()
	// With one availability zone, every pair of instances exchanges heartbeats at the full rate.
	lf, err := localfleet.Start(ctx, localfleet.Options{
		Zones: 1, Engines: fc.Targets, Instances: n, EngineParams: enginesim.DefaultParams(), Log: o.Log, AdjustSettings: useProductionIntervals,
	})
	if err != nil {
		return fc, err
	}
	defer closeFleet(ctx, lf)
	time.Sleep(settleTime)
	before := peerTraffic(lf)
	readsBefore, writesBefore := lf.Store.CallCounts()
	cpuBefore, began := cpuTime(), time.Now()
	time.Sleep(measureTime)
	took := time.Since(began).Seconds()
	fc.CoreShare = (cpuTime() - cpuBefore).Seconds() / took / float64(n)
	after := peerTraffic(lf)
	fc.MessagesPerSecond, fc.BytesPerSecond = after.sub(before).perInstance(took, n)
	reads, writes := lf.Store.CallCounts()
	fc.StoreReads = float64(reads-readsBefore) / took / float64(n)
	fc.StoreWrites = float64(writes-writesBefore) / took / float64(n)
	runtime.GC()
	fc.HeapBytes = (heapBytes() - heapBefore) / float64(n)
	return fc, nil
}

type traffic struct{ messages, bytes int64 }

func (tr traffic) sub(o traffic) traffic {
	return traffic{tr.messages - o.messages, tr.bytes - o.bytes}
}

func (tr traffic) perInstance(seconds float64, n int) (messages, bytes float64) {
	return float64(tr.messages) / seconds / float64(n), float64(tr.bytes) / seconds / float64(n)
}

func peerTraffic(lf *localfleet.Fleet) traffic {
	var sum traffic
	for _, in := range lf.Instances {
		if ms, err := kernel.Resolve[*peer.Mesh](in.Env()); err == nil {
			sum.messages += ms.FramesSent.Load()
			sum.bytes += ms.BytesOut.Load()
		}
	}
	return sum
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func heapBytes() float64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}

func closeFleet(ctx context.Context, lf *localfleet.Fleet) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	lf.Close(ctx)
}

// measureRequests measures the traffic between eight instances while they serve short requests at a rate. The engines run at 20
// times their default speed.
func measureRequests(ctx context.Context, o Options, rate float64) (RequestCost, error) {
	const instances, seconds, scale = 8, 4, 20
	params := enginesim.DefaultParams()
	params.Speedup, params.CacheBlocks = scale, 0
	lf, err := localfleet.Start(ctx, localfleet.Options{
		Zones: 1, Engines: 20, Instances: instances, EngineParams: params, Log: o.Log, AdjustSettings: useProductionIntervals,
	})
	if err != nil {
		return RequestCost{}, err
	}
	defer closeFleet(ctx, lf)
	arrivals := load.Generate(1, load.Workload{
		Rate: rate, Duration: seconds * time.Second, MinShortTokens: 1_000, MaxShortTokens: 8_000, MinLongTokens: minLongTokens, MaxLongTokens: minLongTokens,
		OutputTokens: 4, ShortClass: localfleet.ClassCall, LongClass: localfleet.ClassCall, Organisations: 1, Scale: 1,
	})
	before, began := peerTraffic(lf), time.Now()
	results := load.Run(ctx, load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: 1}, arrivals)
	took := time.Since(began).Seconds()
	rc := RequestCost{RequestsPerSecond: rate}
	rc.MessagesPerSecond, rc.BytesPerSecond = peerTraffic(lf).sub(before).perInstance(took, instances)
	for _, res := range results {
		if res.Correct {
			rc.Served++
		}
	}
	return rc, nil
}

// measureLatency compares short requests that are sent directly to an engine with the same requests through an instance.
func measureLatency(ctx context.Context, o Options) (Latency, error) {
	params := enginesim.DefaultParams()
	params.Speedup, params.CacheBlocks = 100, 0
	lf, err := localfleet.Start(ctx, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: params, Log: o.Log})
	if err != nil {
		return Latency{}, err
	}
	defer closeFleet(ctx, lf)
	arrivals := make([]load.Arrival, 500)
	for i := range arrivals {
		arrivals[i] = load.Arrival{
			At: time.Duration(i) * 8 * time.Millisecond, Class: localfleet.ClassCall, PromptTokens: 1000, OutputTokens: 1, Index: i,
		}
	}
	measure := func(url string) (p50, p99 time.Duration) {
		var times []time.Duration
		for _, r := range load.Run(ctx, load.Options{URLs: []string{url}, Key: localfleet.CallerKey, Model: localfleet.Model, Seed: 1}, arrivals) {
			times = append(times, r.FirstToken)
		}
		return load.Percentile(times, 50), load.Percentile(times, 99)
	}
	var lt Latency
	lt.DirectP50, lt.DirectP99 = measure(lf.Engines[0].URL())
	lt.ViaInstanceP50, lt.ViaInstanceP99 = measure(lf.URLs()[0])
	return lt, nil
}

// measureDecisions measures the time to list the candidates and to choose one of them. The sizes are those of the present fleet, of
// one availability zone as expected in two years, and of seven such zones.
func measureDecisions() []DecisionTime {
	const rounds = 300
	p, err := policy.ByName(owners.Name)
	if err != nil {
		return nil
	}
	var all []DecisionTime
	for _, size := range []DecisionTime{{Targets: 23, Peers: 7}, {Targets: 229, Peers: 52}, {Targets: 1600, Peers: 369}} {
		fl := fleet.New(fleet.Instance{Name: "self", AvailabilityZone: "a"})
		var list []fleet.Target
		for i := range size.Targets {
			list = append(list, fleet.Target{
				Name: fmt.Sprintf("engine-%04d", i), Kind: fleet.KindEngine, AvailabilityZone: zoneName(i, size), Models: []string{"m"},
			})
		}
		fl.SetTargets(list)
		for i := range size.Peers {
			fl.ApplyHeartbeat(fleet.Heartbeat{Sender: fleet.Instance{Name: fmt.Sprintf("entry-%03d", i), AvailabilityZone: zoneName(i, size)}})
		}
		began := time.Now()
		for i := range rounds {
			cs := fl.Candidates(fleet.Filter{Model: "m", IncludePeerLoad: true, OwnedOnly: i%2 == 0})
			if len(cs.Candidates) > 0 {
				p.Choose(policy.Input{
					Prompt: policy.Prompt{Tokens: 2000}, Candidates: cs.Candidates, Sequence: uint64(i), Limits: policy.Limits{MaxLongTargetShare: 0.4},
				})
			}
		}
		size.Duration = time.Since(began) / rounds
		all = append(all, size)
	}
	return all
}

// zoneName spreads fleets of 100 peers or more over seven availability zones, and puts smaller ones into one.
func zoneName(i int, size DecisionTime) string {
	if size.Peers < 100 {
		return "a"
	}
	return string(rune('a' + i%7))
}

func measureBundles() ([]BundleCost, error) {
	var all []BundleCost
	for _, n := range []int{10, 100, 1000, 6800} {
		b := localfleet.DefaultBundle()
		for i := range n {
			key := bundle.KeyDigest(fmt.Sprintf("key-%d", i))
			b.Organisations = append(b.Organisations, bundle.Organisation{Name: fmt.Sprintf("organisation-%04d", i), KeyDigests: []string{key}})
		}
		for i := range 26 {
			b.Models = append(b.Models, bundle.Model{Name: fmt.Sprintf("model-%02d", i), MaxTokens: minLongTokens})
		}
		doc, err := json.Marshal(b)
		if err != nil {
			return all, errors.Wrap(err, "encode bundle")
		}
		began := time.Now()
		if _, err := bundle.Parse(doc); err != nil {
			return all, err
		}
		took := time.Since(began)
		change, err := maxChangeBytes(b)
		if err != nil {
			return all, err
		}
		all = append(all, BundleCost{Organisations: n, Bytes: len(doc), ChangeBytes: change, ParseTime: took})
	}
	return all, nil
}

// maxChangeBytes returns the size of a bundle's index and of its largest part, which is the most that is read again after one
// change.
func maxChangeBytes(b bundle.Bundle) (int, error) {
	index, parts, err := b.Split()
	if err != nil {
		return 0, err
	}
	doc, err := json.Marshal(index)
	if err != nil {
		return 0, errors.Wrap(err, "encode index")
	}
	largest := 0
	for _, p := range parts {
		largest = max(largest, len(p.Body))
	}
	return len(doc) + largest, nil
}
