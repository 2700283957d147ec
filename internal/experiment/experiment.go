// Package experiment measures routing policies against each other on the same arrivals.
package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/load"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

// longTokens is the length from which a prompt is left out of the comparison run.
const minLongTokens = 100_000

// eventExtra is the time of an event besides the arrivals of the three runs: the fleet starts, and the first run ends.
const eventMargin = 3 * time.Second

const stopTimeout = 5 * time.Second

// Fault is something that goes wrong during a run.
type Fault string

// The faults.
const (
	FaultNone            Fault = "none"
	FaultStaleReports    Fault = "stale-reports"
	FaultEngineKilled    Fault = "engine-killed"
	FaultInstanceKilled  Fault = "instance-killed"
	FaultZonePartitioned Fault = "zone-cut"
	FaultPlatformDown    Fault = "platform-down"
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultStaleReports, FaultEngineKilled, FaultInstanceKilled, FaultZonePartitioned, FaultPlatformDown}

// Preset is one users' fleet.
type Preset struct {
	// Name is that of the fleet.
	Name string
	// Engines, Instances and Zones are its sizes.
	Engines, Instances, Zones int
	// Mix is the load at an event's start.
	Workload load.Workload
}

// Presets are the users' fleets.
var Presets = []Preset{
	{Name: "tywi", Engines: 20, Instances: 8, Zones: 3, Workload: load.Workload{
		Rate: 40, Duration: 20 * time.Second, Burst: 40, LongShare: 0.02, MinShortTokens: 1_000, MaxShortTokens: 8_000,
		MinLongTokens: minLongTokens, MaxLongTokens: 1_000_000, OutputTokens: 8, Organisations: 10,
		ShortClass: localfleet.ClassCall, LongClass: localfleet.ClassBatch,
	}},
	{Name: "acervo", Engines: 20, Instances: 8, Zones: 3, Workload: load.Workload{
		Rate: 16, Duration: 30 * time.Second, Burst: 20, LongShare: 0.02, MinShortTokens: 1_000, MaxShortTokens: 32_000,
		MinLongTokens: minLongTokens, MaxLongTokens: 1_000_000, OutputTokens: 8, Organisations: 10,
		ShortClass: localfleet.ClassCall, LongClass: localfleet.ClassBatch,
	}},
}

// Options select what is run.
type Options struct {
	// Fleets, Policies and Faults are names; Seeds give the arrivals.
	Fleets   []string
	Policies []string
	Faults   []Fault
	Seeds    []uint64
	// Scale divides engine times and the times of arrivals.
	Scale float64
	// Instances, when set, replaces the preset's count: one instance knows everything in flight.
	Instances int
	// Events makes the bundle tell of the event that the arrivals are.
	AnnounceEvent bool
	// LongShare, when set, replaces the default share of targets that take long prompts.
	LongShare float64
	// Progress gets a line a run.
	Progress io.Writer
	// Log is used by the instances.
	Log log.Interface
}

// Cell is the outcome of one run.
type Result struct {
	Fleet  string `json:"fleet"`
	Policy string `json:"policy"`
	Fault  Fault  `json:"fault"`
	Seed   uint64 `json:"seed"`
	// SlowP50, SlowP95 and SlowP99 are the slowdown of short prompts beside long ones.
	SlowdownP50 float64 `json:"slow_p50"`
	SlowdownP95 float64 `json:"slow_p95"`
	SlowdownP99 float64 `json:"slow_p99"`
	// FloorP95 and FloorP99 are the same between two runs without long prompts: what chance alone gives.
	NoiseP95 float64 `json:"floor_p95"`
	NoiseP99 float64 `json:"floor_p99"`
	// RatioP95 and RatioP99 are the quantiles of the run with long prompts over those of the run without.
	PercentileRatioP95 float64 `json:"ratio_p95"`
	PercentileRatioP99 float64 `json:"ratio_p99"`
	// IdleP50 and IdleP95 are the time to the first token over that on an idle target, all lengths.
	SlowdownVsIdleP50 float64 `json:"idle_p50"`
	SlowdownVsIdleP95 float64 `json:"idle_p95"`
	// ShortP99 is the time to the first token of short prompts, unscaled.
	ShortP99 time.Duration `json:"short_p99"`
	// LongP50 and LongP95 are of the long prompts' first tokens, unscaled.
	LongP50 time.Duration `json:"long_p50"`
	LongP95 time.Duration `json:"long_p95"`
	// Requests, Right and Refused count; Late counts admitted requests without a whole answer.
	Requests   int `json:"requests"`
	Correct    int `json:"right"`
	Refused    int `json:"refused"`
	Incomplete int `json:"late"`
}

// Run runs all combinations and returns a cell for each.
func Run(ctx context.Context, o Options) ([]Result, error) {
	var cells []Result
	for _, p := range Presets {
		if !slices.Contains(o.Fleets, p.Name) {
			continue
		}
		for _, fault := range o.Faults {
			for _, seed := range o.Seeds {
				for _, name := range o.Policies {
					c, err := runOne(ctx, o, p, name, fault, seed)
					if err != nil {
						return cells, err
					}
					cells = append(cells, c)
					fmt.Fprintf(o.Progress, "%s %s %s seed %d: short slowdown p95 %.2f p99 %.2f, right %d of %d\n",
						p.Name, name, fault, seed, c.SlowdownP95, c.SlowdownP99, c.Correct, c.Requests)
				}
			}
		}
	}
	return cells, nil
}

func runOne(ctx context.Context, o Options, p Preset, policy string, fault Fault, seed uint64) (Result, error) {
	params := enginesim.DefaultParams()
	params.Scale = o.Scale
	// The second run sends the prompts of the first again; a cache would make it look faster than it is.
	params.CacheBlocks = 0
	if fault == FaultStaleReports {
		params.ReportLag = 5 * time.Second
	}
	instances := p.Instances
	if o.Instances > 0 {
		instances = o.Instances
	}
	cut := &zonePartition{}
	mix := p.Workload
	mix.Scale = o.Scale
	all := load.Generate(seed, mix)
	b := localfleet.DefaultBundle()
	if o.AnnounceEvent {
		b.Events = []bundle.Event{eventFor(all)}
	}
	lf, err := localfleet.Start(ctx, localfleet.Options{
		Zones: p.Zones, Engines: p.Engines, Instances: instances, EngineParams: params, Policy: policy, Log: o.Log,
		ZoneLinkBlocked: cut.blocked, Bundle: &b,
		AdjustSettings: func(s *config.Settings) {
			if o.LongShare > 0 {
				s.Routing.LongShare = o.LongShare
			}
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		lf.Close(ctx)
	}()
	t := load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: seed}
	without := load.Run(ctx, t, load.ShorterThan(all, minLongTokens))
	again := load.Run(ctx, t, load.ShorterThan(all, minLongTokens))
	undo := injectFault(ctx, lf, fault, cut, time.Duration(float64(mix.Duration)/o.Scale/3))
	with := load.Run(ctx, t, all)
	undo()
	c := Result{Fleet: p.Name, Policy: policy, Fault: fault, Seed: seed}
	_, c.NoiseP95, c.NoiseP99 = load.RatioPercentiles(load.Slowdowns(again, without))
	return summarise(c, params, with, without), nil
}

// event is what an operator who knows the arrivals would expect: the load of short prompts while they come. The runs with
// and without long prompts both fall into it.
func eventFor(all []load.Arrival) bundle.Event {
	tokens := 0
	for _, a := range load.ShorterThan(all, minLongTokens) {
		tokens += a.PromptTokens
	}
	span := all[len(all)-1].At
	return bundle.Event{
		Name: "measured", Start: time.Now(), Length: config.Duration(3*span + eventMargin), TokensPerSecond: float64(tokens) / span.Seconds(),
	}
}

func summarise(c Result, params enginesim.Params, with, without []load.Result) Result {
	c.SlowdownP50, c.SlowdownP95, c.SlowdownP99 = load.RatioPercentiles(load.Slowdowns(with, without))
	var idle []float64
	var short, long []time.Duration
	for _, r := range with {
		c.Requests++
		if r.Correct {
			c.Correct++
		} else if r.Outcome == "not_run" {
			c.Refused++
		} else {
			c.Incomplete++
		}
		if r.FirstToken == 0 {
			continue
		}
		idle = append(idle, float64(r.FirstToken)/float64(params.Alone(r.PromptTokens)))
		real := time.Duration(float64(r.FirstToken) * params.Scale)
		if r.PromptTokens >= minLongTokens {
			long = append(long, real)
		} else {
			short = append(short, real)
		}
	}
	base := firstTokens(without)
	c.PercentileRatioP95 = rescaledRatio(load.Percentile(short, 95), load.Percentile(base, 95), params.Scale)
	c.PercentileRatioP99 = rescaledRatio(load.Percentile(short, 99), load.Percentile(base, 99), params.Scale)
	c.SlowdownVsIdleP50, c.SlowdownVsIdleP95, _ = load.RatioPercentiles(idle)
	c.ShortP99 = load.Percentile(short, 99)
	c.LongP50, c.LongP95 = load.Percentile(long, 50), load.Percentile(long, 95)
	return c
}

func firstTokens(results []load.Result) []time.Duration {
	var times []time.Duration
	for _, r := range results {
		if r.FirstToken > 0 {
			times = append(times, r.FirstToken)
		}
	}
	return times
}

// over returns an unscaled time over a scaled one.
func rescaledRatio(unscaled, scaled time.Duration, scale float64) float64 {
	return float64(unscaled) / (float64(max(1, scaled)) * scale)
}

// Medians returns a row for each fleet, fault and policy, in the order in which they were run.
func Medians(cells []Result) []Result {
	type key struct {
		fleet, policy string
		fault         Fault
	}
	var order []key
	groups := map[key][]Result{}
	for _, c := range cells {
		k := key{c.Fleet, c.Policy, c.Fault}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], c)
	}
	var rows []Result
	for _, k := range order {
		rows = append(rows, medianOf(groups[k]))
	}
	return rows
}

func medianOf(group []Result) Result {
	m := group[0]
	number := func(f func(Result) float64) float64 {
		vs := make([]float64, len(group))
		for i, c := range group {
			vs[i] = f(c)
		}
		slices.Sort(vs)
		return vs[len(vs)/2]
	}
	span := func(f func(Result) time.Duration) time.Duration {
		return time.Duration(number(func(c Result) float64 { return float64(f(c)) }))
	}
	m.SlowdownP50, m.SlowdownP95 = number(func(c Result) float64 { return c.SlowdownP50 }), number(func(c Result) float64 { return c.SlowdownP95 })
	m.NoiseP95, m.NoiseP99 = number(func(c Result) float64 { return c.NoiseP95 }), number(func(c Result) float64 { return c.NoiseP99 })
	m.PercentileRatioP95, m.PercentileRatioP99 = number(func(c Result) float64 { return c.PercentileRatioP95 }), number(func(c Result) float64 { return c.PercentileRatioP99 })
	m.SlowdownP99 = number(func(c Result) float64 { return c.SlowdownP99 })
	m.SlowdownVsIdleP50, m.SlowdownVsIdleP95 = number(func(c Result) float64 { return c.SlowdownVsIdleP50 }), number(func(c Result) float64 { return c.SlowdownVsIdleP95 })
	m.ShortP99 = span(func(c Result) time.Duration { return c.ShortP99 })
	m.LongP50, m.LongP95 = span(func(c Result) time.Duration { return c.LongP50 }), span(func(c Result) time.Duration { return c.LongP95 })
	m.Requests, m.Correct, m.Refused, m.Incomplete = 0, 0, 0, 0
	for _, c := range group {
		m.Requests += c.Requests
		m.Correct += c.Correct
		m.Refused += c.Refused
		m.Incomplete += c.Incomplete
	}
	return m
}

// WriteTable writes the medians with the short p99 against the first policy of the same fleet and fault.
func WriteTable(w io.Writer, rows []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| fleet\t| fault\t| policy\t| slowdown p50\t| p95\t| p99\t| floor p95\t| p99\t| quantiles p95\t| p99\t| short p99\t| times better\t| over idle p50\t| p95\t| long p50\t| long p95\t| right\t| refused\t| late\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	base := map[string]time.Duration{}
	for _, r := range rows {
		k := r.Fleet + string(r.Fault)
		if base[k] == 0 {
			base[k] = r.ShortP99
		}
		better := float64(base[k]) / float64(max(1, r.ShortP99))
		fmt.Fprintf(tw, "| %s\t| %s\t| %s\t| %.2f\t| %.2f\t| %.2f\t| %.2f\t| %.2f\t| %.2f\t| %.2f\t| %s\t| %.1f\t| %.2f\t| %.2f\t| %s\t| %s\t| %d of %d\t| %d\t| %d\t|\n",
			r.Fleet, r.Fault, r.Policy, r.SlowdownP50, r.SlowdownP95, r.SlowdownP99, r.NoiseP95, r.NoiseP99, r.PercentileRatioP95, r.PercentileRatioP99, r.ShortP99.Round(10*time.Millisecond), better,
			r.SlowdownVsIdleP50, r.SlowdownVsIdleP95, r.LongP50.Round(100*time.Millisecond), r.LongP95.Round(100*time.Millisecond),
			r.Correct, r.Requests, r.Refused, r.Incomplete)
	}
	return tw.Flush()
}
