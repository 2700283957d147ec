// Package experiment compares routing policies by running each of them on the same arrivals, with and without injected faults.
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

// minLongTokens is the minimum length of long prompts, which the comparison runs leave out.
const minLongTokens = 100_000

// eventMargin is how much longer an event lasts than the arrivals of the three runs, to cover the start of the fleet and the end
// of the first run.
const eventMargin = 3 * time.Second

const stopTimeout = 5 * time.Second

// Fault is a kind of fault that is injected during a run.
type Fault string

// The faults that can be injected.
const (
	FaultNone            Fault = "none"
	FaultStaleReports    Fault = "stale-reports"
	FaultEngineKilled    Fault = "engine-killed"
	FaultInstanceKilled  Fault = "instance-killed"
	FaultZonePartitioned Fault = "zone-cut"
	FaultPlatformDown    Fault = "platform-down"
)

// Faults lists all faults, beginning with none.
var Faults = []Fault{FaultNone, FaultStaleReports, FaultEngineKilled, FaultInstanceKilled, FaultZonePartitioned, FaultPlatformDown}

// Preset is a predefined fleet with its workload.
type Preset struct {
	// Name selects the preset in Options.Fleets.
	Name string
	// Engines, Instances and Zones are counts.
	Engines, Instances, Zones int
	// Workload describes the arrivals at the start of an event.
	Workload load.Workload
}

// Presets are modelled on the fleets of the users.
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

// Options select the combinations to run.
type Options struct {
	// Fleets and Policies are names of presets and routing policies. Each seed determines the arrivals of one run.
	Fleets   []string
	Policies []string
	Faults   []Fault
	Seeds    []uint64
	// Scale divides the processing times of engines and the times of arrivals.
	Scale float64
	// Instances, if set, replaces the preset's count. A single instance knows of all requests in flight.
	Instances int
	// AnnounceEvent adds an event to the bundle that announces the load of the short prompts.
	AnnounceEvent bool
	// LongShare, if set, replaces the default maximum share of targets that take long prompts.
	LongShare float64
	// Progress receives one line per run.
	Progress io.Writer
	// Log receives the log lines of the instances.
	Log log.Interface
}

// Result is the outcome of one combination of fleet, policy, fault and seed, or the medians over several seeds.
type Result struct {
	Fleet  string `json:"fleet"`
	Policy string `json:"policy"`
	Fault  Fault  `json:"fault"`
	Seed   uint64 `json:"seed"`
	// SlowdownP50, SlowdownP95 and SlowdownP99 are percentiles of the slowdown of short prompts: the time to the first token with
	// long prompts in the load, divided by that of the same request without them.
	SlowdownP50 float64 `json:"slow_p50"`
	SlowdownP95 float64 `json:"slow_p95"`
	SlowdownP99 float64 `json:"slow_p99"`
	// NoiseP95 and NoiseP99 are the same ratios between two runs that both lack long prompts, and thus show the variation by chance.
	NoiseP95 float64 `json:"floor_p95"`
	NoiseP99 float64 `json:"floor_p99"`
	// PercentileRatioP95 and PercentileRatioP99 are percentiles of the time to the first token of short prompts in the run with
	// long prompts, divided by the same percentiles of the run without them.
	PercentileRatioP95 float64 `json:"ratio_p95"`
	PercentileRatioP99 float64 `json:"ratio_p99"`
	// SlowdownVsIdleP50 and SlowdownVsIdleP95 are percentiles over prompts of all lengths of the time to the first token, divided
	// by that on an idle target.
	SlowdownVsIdleP50 float64 `json:"idle_p50"`
	SlowdownVsIdleP95 float64 `json:"idle_p95"`
	// ShortP99 is a percentile of the time to the first token of short prompts, converted back to unscaled time.
	ShortP99 time.Duration `json:"short_p99"`
	// LongP50 and LongP95 are the same for long prompts.
	LongP50 time.Duration `json:"long_p50"`
	LongP95 time.Duration `json:"long_p95"`
	// Requests is the sum of Correct, Refused and Incomplete. Incomplete counts the admitted requests without a complete and
	// correct answer.
	Requests   int `json:"requests"`
	Correct    int `json:"right"`
	Refused    int `json:"refused"`
	Incomplete int `json:"late"`
}

// Run runs all combinations and returns a result for each. If a run fails, it returns the results so far with the error.
func Run(ctx context.Context, o Options) ([]Result, error) {
	var results []Result
	for _, p := range Presets {
		if !slices.Contains(o.Fleets, p.Name) {
			continue
		}
		for _, fault := range o.Faults {
			for _, seed := range o.Seeds {
				for _, name := range o.Policies {
					rs, err := runOne(ctx, o, p, name, fault, seed)
					if err != nil {
						return results, err
					}
					results = append(results, rs)
					fmt.Fprintf(o.Progress, "%s %s %s seed %d: short slowdown p95 %.2f p99 %.2f, right %d of %d\n",
						p.Name, name, fault, seed, rs.SlowdownP95, rs.SlowdownP99, rs.Correct, rs.Requests)
				}
			}
		}
	}
	return results, nil
}

func runOne(ctx context.Context, o Options, p Preset, policy string, fault Fault, seed uint64) (Result, error) {
	params := enginesim.DefaultParams()
	params.Speedup = o.Scale
	// All runs send the same prompts, so a prefix cache would make the later runs look faster than they are.
	params.CacheBlocks = 0
	if fault == FaultStaleReports {
		params.ReportLag = 5 * time.Second
	}
	instances := p.Instances
	if o.Instances > 0 {
		instances = o.Instances
	}
	partition := &zonePartition{}
	workload := p.Workload
	workload.Scale = o.Scale
	all := load.Generate(seed, workload)
	b := localfleet.DefaultBundle()
	if o.AnnounceEvent {
		b.Events = []bundle.Event{eventFor(all)}
	}
	lf, err := localfleet.Start(ctx, localfleet.Options{
		Zones: p.Zones, Engines: p.Engines, Instances: instances, EngineParams: params, Policy: policy, Log: o.Log,
		ZoneLinkBlocked: partition.blocked, Bundle: &b,
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
	lo := load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: seed}
	withoutLong := load.Run(ctx, lo, load.ShorterThan(all, minLongTokens))
	repeated := load.Run(ctx, lo, load.ShorterThan(all, minLongTokens))
	endFault := injectFault(ctx, lf, fault, partition, time.Duration(float64(workload.Duration)/o.Scale/3))
	withLong := load.Run(ctx, lo, all)
	endFault()
	rs := Result{Fleet: p.Name, Policy: policy, Fault: fault, Seed: seed}
	_, rs.NoiseP95, rs.NoiseP99 = load.RatioPercentiles(load.Slowdowns(repeated, withoutLong))
	return summarise(rs, params, withLong, withoutLong), nil
}

// eventFor returns the event that an operator who knows the arrivals would announce: the load of the short prompts while they
// arrive. The event lasts over the runs with and without long prompts.
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

func summarise(rs Result, params enginesim.Params, withLong, withoutLong []load.Result) Result {
	rs.SlowdownP50, rs.SlowdownP95, rs.SlowdownP99 = load.RatioPercentiles(load.Slowdowns(withLong, withoutLong))
	var vsIdle []float64
	var short, long []time.Duration
	for _, r := range withLong {
		rs.Requests++
		if r.Correct {
			rs.Correct++
		} else if r.Outcome == "not_run" {
			rs.Refused++
		} else {
			rs.Incomplete++
		}
		if r.FirstToken == 0 {
			continue
		}
		vsIdle = append(vsIdle, float64(r.FirstToken)/float64(params.IdleTimeToFirstToken(r.PromptTokens)))
		unscaled := time.Duration(float64(r.FirstToken) * params.Speedup)
		if r.PromptTokens >= minLongTokens {
			long = append(long, unscaled)
		} else {
			short = append(short, unscaled)
		}
	}
	base := firstTokens(withoutLong)
	rs.PercentileRatioP95 = rescaledRatio(load.Percentile(short, 95), load.Percentile(base, 95), params.Speedup)
	rs.PercentileRatioP99 = rescaledRatio(load.Percentile(short, 99), load.Percentile(base, 99), params.Speedup)
	rs.SlowdownVsIdleP50, rs.SlowdownVsIdleP95, _ = load.RatioPercentiles(vsIdle)
	rs.ShortP99 = load.Percentile(short, 99)
	rs.LongP50, rs.LongP95 = load.Percentile(long, 50), load.Percentile(long, 95)
	return rs
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

// rescaledRatio returns an unscaled time divided by a scaled one, after it has converted the latter to unscaled time.
func rescaledRatio(unscaled, scaled time.Duration, scale float64) float64 {
	return float64(unscaled) / (float64(max(1, scaled)) * scale)
}

// Medians returns one row with the medians over all seeds for each combination of fleet, fault and policy, in the order in which
// they were run. The counts of requests are summed.
func Medians(results []Result) []Result {
	type key struct {
		fleet, policy string
		fault         Fault
	}
	var order []key
	groups := map[key][]Result{}
	for _, rs := range results {
		k := key{rs.Fleet, rs.Policy, rs.Fault}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], rs)
	}
	var rows []Result
	for _, k := range order {
		rows = append(rows, medianOf(groups[k]))
	}
	return rows
}

func medianOf(group []Result) Result {
	m := group[0]
	medianNumber := func(f func(Result) float64) float64 {
		vs := make([]float64, len(group))
		for i, rs := range group {
			vs[i] = f(rs)
		}
		slices.Sort(vs)
		return vs[len(vs)/2]
	}
	medianDuration := func(f func(Result) time.Duration) time.Duration {
		return time.Duration(medianNumber(func(rs Result) float64 { return float64(f(rs)) }))
	}
	m.SlowdownP50, m.SlowdownP95 = medianNumber(func(rs Result) float64 { return rs.SlowdownP50 }),
		medianNumber(func(rs Result) float64 { return rs.SlowdownP95 })
	m.NoiseP95, m.NoiseP99 = medianNumber(func(rs Result) float64 { return rs.NoiseP95 }),
		medianNumber(func(rs Result) float64 { return rs.NoiseP99 })
	m.PercentileRatioP95, m.PercentileRatioP99 = medianNumber(func(rs Result) float64 { return rs.PercentileRatioP95 }),
		medianNumber(func(rs Result) float64 { return rs.PercentileRatioP99 })
	m.SlowdownP99 = medianNumber(func(rs Result) float64 { return rs.SlowdownP99 })
	m.SlowdownVsIdleP50, m.SlowdownVsIdleP95 = medianNumber(func(rs Result) float64 { return rs.SlowdownVsIdleP50 }),
		medianNumber(func(rs Result) float64 { return rs.SlowdownVsIdleP95 })
	m.ShortP99 = medianDuration(func(rs Result) time.Duration { return rs.ShortP99 })
	m.LongP50, m.LongP95 = medianDuration(func(rs Result) time.Duration { return rs.LongP50 }),
		medianDuration(func(rs Result) time.Duration { return rs.LongP95 })
	m.Requests, m.Correct, m.Refused, m.Incomplete = 0, 0, 0, 0
	for _, rs := range group {
		m.Requests += rs.Requests
		m.Correct += rs.Correct
		m.Refused += rs.Refused
		m.Incomplete += rs.Incomplete
	}
	return m
}

// WriteTable writes the medians as a Markdown table. The column "times better" divides ShortP99 of the first policy with the same
// fleet and fault by that of the row.
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
