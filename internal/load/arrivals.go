// Package load sends arrivals to entry instances at their intended times and measures the answers.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of a trace.
type Arrival struct {
	// At is the intended start, from the start of the trace.
	At time.Duration `json:"at"`
	// Class and Organisation name whose work it is.
	Class        string `json:"class"`
	Organisation int    `json:"organisation"`
	// Tokens is the length of the prompt, Output of the answer.
	PromptTokens int `json:"tokens"`
	OutputTokens int `json:"output"`
	// Prefix numbers a shared start of the prompt; zero means none.
	Prefix int `json:"prefix"`
	// Index numbers the arrival in its whole trace.
	Index int `json:"index"`
}

// Mix describes arrivals at the start of an event.
type Workload struct {
	// Rate is requests a second; Length the time over which they come.
	Rate     float64
	Duration time.Duration
	// Burst requests come in the first tenth of a second besides.
	Burst int
	// LongShare is the share of prompts over LongTokens.
	LongShare float64
	// ShortTokens, LongTokens and MaxTokens bound the two log-uniform parts.
	MinShortTokens, MaxShortTokens, MinLongTokens, MaxLongTokens int
	// Output is the length of answers.
	OutputTokens int
	// LongClass is the class of long prompts, ShortClass of the others.
	LongClass, ShortClass string
	// Organisations of unequal size send the requests.
	Organisations int
	// Scale divides all times.
	Scale float64
}

const burstDuration = 100 * time.Millisecond

// Generate returns the arrivals for a seed, in order.
func Generate(seed uint64, m Workload) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var all []Arrival
	for range m.Burst {
		all = append(all, m.randomArrival(rnd, time.Duration(rnd.Float64()*float64(burstDuration))))
	}
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / m.Rate
		if at >= m.Duration.Seconds() {
			break
		}
		all = append(all, m.randomArrival(rnd, time.Duration(at*float64(time.Second))))
	}
	slices.SortFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Index = i
		all[i].At = time.Duration(float64(all[i].At) / m.Scale)
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

// unequal picks organisation k about half as often as k-1.
func randomOrganisation(rnd *rand.Rand, n int) int {
	for k := 0; k < n-1; k++ {
		if rnd.IntN(2) == 0 {
			return k
		}
	}
	return max(0, n-1)
}

// Without returns the arrivals shorter than the given length.
func ShorterThan(all []Arrival, tokens int) []Arrival {
	return slices.DeleteFunc(slices.Clone(all), func(a Arrival) bool { return a.PromptTokens >= tokens })
}
