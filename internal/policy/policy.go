// Package policy defines what a routing policy sees and decides. Policies are pure: state in, decision out.
package policy

import (
	"fmt"
	"slices"
	"time"
)

// Bands is the number of length bands into which prompts fall, shortest first.
const NumLengthBands = 4

// bandLimits are the lengths in tokens from which the next band starts.
var lengthBandLimits = [NumLengthBands - 1]int{8_000, 32_000, 100_000}

// Band returns the length band of a prompt.
func LengthBand(tokens int) int {
	for i, limit := range lengthBandLimits {
		if tokens < limit {
			return i
		}
	}
	return NumLengthBands - 1
}

// Request is what a policy knows of a request.
type Prompt struct {
	// Tokens is the length of the prompt, Output the bound on generated tokens.
	Tokens, MaxOutputTokens int
	// Long is set from the configured length on.
	Long bool
}

// Memory returns the KV memory that the request takes, in tokens.
func (pr Prompt) MemoryTokens() int { return pr.Tokens + pr.MaxOutputTokens }

// Candidate is one target that could take the request, as far as this instance knows.
type Candidate struct {
	// Name is unique among candidates.
	Name string
	// OwnRequests and OwnPrefill are what this instance has in flight.
	OwnRequests int
	OwnPrefill  [NumLengthBands]int
	// AllPrefill, AllLong and AllMemory include what peers have in flight, as last heard.
	InFlightPrefill [NumLengthBands]int
	InFlightLong    int
	InFlightMemory  int
	// ReportedPrefill is the engine's own figure, which lags behind.
	ReportedPrefill int
	// Rate is prompt tokens a second; always positive.
	PrefillRate float64
	// RateKnown is false while Rate is only assumed.
	PrefillRateKnown bool
	// MemoryTotal is zero when not known.
	MemoryTotal int
	// BesideLong is the extra time that a short prompt takes where a long one runs, learnt from what targets do.
	InterferenceDelay time.Duration
}

// Fits reports whether the request's memory is free, as far as known.
func (ca Candidate) Fits(rq Prompt) bool {
	return ca.MemoryTotal == 0 || ca.InFlightMemory+rq.MemoryTokens() <= ca.MemoryTotal
}

// Work returns the time that prompt tokens take on the target.
func (ca Candidate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / ca.PrefillRate * float64(time.Second))
}

// Limits are the configured bounds that policies keep.
type Limits struct {
	// LongPerTarget bounds long prompts on one target.
	MaxLongPerTarget int
	// LongShare bounds the share of targets that take long prompts.
	MaxLongTargetShare float64
}

// Input is all that a decision rests on.
type Input struct {
	Prompt Prompt
	// Candidates are in a fixed order and never empty.
	Candidates []Candidate
	Limits     Limits
	// Demand is set for policies that follow it.
	Demand Demand
	// Follows is set for policies that follow the demand.
	HasDemand bool
	// Turn grows with every decision of this instance, from a start of its own.
	Sequence uint64
}

// Demand is what arrives, over all instances.
type Demand struct {
	// Short is prompt tokens a second of short prompts.
	ShortRate float64
	// LongNeed is prompt tokens a second that waiting long prompts need to be in time.
	RequiredLongRate float64
}

// Decision says where a request runs. The zero value means that it waits.
type Decision struct {
	// Run is set when a target was chosen.
	Placed bool
	// Index is that of the chosen candidate.
	Index int
	// Wait is the predicted time before the prompt is started.
	PredictedWait time.Duration
}

// Policy is one way to decide.
type Policy struct {
	// Name is unique among registered policies.
	Name string
	// Rung orders policies from the simplest.
	Rank int
	// Priorities is set when the engine is told each request's length band.
	UsesEnginePriorities bool
	// Peers is set when the decision uses what peers have in flight.
	UsesPeerLoad bool
	// Grants is set when long prompts need a grant from the target's owner.
	UsesGrants bool
	// Owners is set when short prompts go to targets that this instance owns, or that another owner offers.
	UsesOwners bool
	// Demand is set when the number of targets for long prompts follows the demand.
	UsesDemand bool
	// Choose decides. It has no side effects.
	Choose func(Input) Decision
}

// UnknownError says that no policy has the name.
type UnknownError struct{ Name string }

// Error names the policy.
func (ue *UnknownError) Error() string { return fmt.Sprintf("no policy %q", ue.Name) }

var registered []Policy

// Register adds a policy. It is called from init functions only.
func Register(p Policy) {
	registered = append(registered, p)
	slices.SortFunc(registered, func(a, b Policy) int { return a.Rank - b.Rank })
}

// ByName returns a registered policy.
func ByName(name string) (Policy, error) {
	for _, p := range registered {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, &UnknownError{Name: name}
}

// Names returns the registered policies, simplest first.
func Names() []string {
	names := make([]string, len(registered))
	for i, p := range registered {
		names[i] = p.Name
	}
	return names
}

// Least returns the index of the smallest cost. Ties are broken by a hash of turn, so that instances with the same
// view do not all choose the same one. Candidates with a negative cost are left out; -1 means none.
func LeastCost(n int, turn uint64, cost func(i int) time.Duration) (best int, least time.Duration) {
	best = -1
	first := mixBits(turn) % uint64(n)
	for k := range n {
		i := int((first + uint64(k)) % uint64(n))
		c := cost(i)
		if c >= 0 && (best < 0 || c < least) {
			best, least = i, c
		}
	}
	return best, least
}

// mix is the finishing step of the SplitMix64 generator.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Ahead returns the tokens that run before a prompt of the given band where shorter bands go first.
func TokensAhead(prefill [NumLengthBands]int, band int) int {
	sum := 0
	for b := 0; b <= band; b++ {
		sum += prefill[b]
	}
	return sum
}

// Total returns the tokens over all bands.
func TotalTokens(prefill [NumLengthBands]int) int { return TokensAhead(prefill, NumLengthBands-1) }
