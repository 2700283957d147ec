// Package load generates open-loop load: it sends requests to entry instances at scheduled times, whether or not earlier ones
// have been answered, and measures the answers.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request of a trace.
type Arrival struct {
	// At is the scheduled time of the request, relative to the start of the trace.
	At time.Duration `json:"at"`
	// Class is the name of the request's class, and Organisation the number of the organisation that sends it.
	Class        string `json:"class"`
	Organisation int    `json:"organisation"`
	// PromptTokens and OutputTokens are the lengths of the prompt and of the answer.
	PromptTokens int `json:"tokens"`
	OutputTokens int `json:"output"`
	// Prefix is the number of a prefix that several prompts share. Zero means none.
	Prefix int `json:"prefix"`
	// Index is the position of the arrival in the complete trace. Subsets of the trace keep it.
	Index int `json:"index"`
}

// Workload describes the random arrivals at the start of an event.
type Workload struct {
	// Rate is in requests per second. Duration is the time over which they arrive.
	Rate     float64
	Duration time.Duration
	// Burst is the number of additional requests that arrive within the first 100 ms.
	Burst int
	// LongShare is the share of long prompts among all requests.
	LongShare float64
	// Prompt lengths are distributed log-uniformly, between these bounds for short and for long prompts.
	MinShortTokens, MaxShortTokens, MinLongTokens, MaxLongTokens int
	// OutputTokens is the length of every answer.
	OutputTokens int
	// LongClass is the class of long prompts, and ShortClass that of short ones.
	LongClass, ShortClass string
	// Organisations is the number of organisations that send requests. Each sends about half as many as the one before it.
	Organisations int
	// Scale divides the times of all arrivals.
	Scale float64
}

const burstDuration = 100 * time.Millisecond

// Generate returns the arrivals of a workload in order of time. The same seed gives the same arrivals.
func Generate(seed uint64, wl Workload) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var all []Arrival
	for range wl.Burst {
		all = append(all, wl.randomArrival(rnd, time.Duration(rnd.Float64()*float64(burstDuration))))
	}
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / wl.Rate
		if at >= wl.Duration.Seconds() {
			break
		}
		all = append(all, wl.randomArrival(rnd, time.Duration(at*float64(time.Second))))
	}
	slices.SortFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Index = i
		all[i].At = time.Duration(float64(all[i].At) / wl.Scale)
	}
	return all
}

func (wl Workload) randomArrival(rnd *rand.Rand, at time.Duration) Arrival {
	a := Arrival{At: at, OutputTokens: wl.OutputTokens, Class: wl.ShortClass, Organisation: randomOrganisation(rnd, wl.Organisations)}
	if rnd.Float64() < wl.LongShare {
		a.Class = wl.LongClass
		a.PromptTokens = logUniform(rnd, wl.MinLongTokens, wl.MaxLongTokens)
		return a
	}
	a.PromptTokens = logUniform(rnd, wl.MinShortTokens, wl.MaxShortTokens)
	return a
}

func logUniform(rnd *rand.Rand, low, high int) int {
	l, h := math.Log(float64(low)), math.Log(float64(high))
	return int(math.Exp(l + rnd.Float64()*(h-l)))
}

// randomOrganisation returns the number of an organisation. Each number is about half as likely as the one before it.
func randomOrganisation(rnd *rand.Rand, n int) int {
	for k := 0; k < n-1; k++ {
		if rnd.IntN(2) == 0 {
			return k
		}
	}
	return max(0, n-1)
}

// ShorterThan returns the arrivals whose prompts have fewer than the given number of tokens.
func ShorterThan(all []Arrival, tokens int) []Arrival {
	return slices.DeleteFunc(slices.Clone(all), func(a Arrival) bool { return a.PromptTokens >= tokens })
}
