// Package policy defines the input and the decision of a routing policy. A policy is a pure function from one to the other.
package policy

import (
	"fmt"
	"slices"
	"time"
)

// NumLengthBands is the number of length bands into which prompts are classified. Band 0 holds the shortest prompts.
const NumLengthBands = 4

// lengthBandLimits holds, for each band but the last, the prompt length in tokens at which the next band starts.
var lengthBandLimits = [NumLengthBands - 1]int{8_000, 32_000, 100_000}

// LengthBand returns the length band of a prompt with this number of tokens.
func LengthBand(tokens int) int {
	for i, limit := range lengthBandLimits {
		if tokens < limit {
			return i
		}
	}
	return NumLengthBands - 1
}

// Prompt describes a request to a policy.
type Prompt struct {
	// Tokens is the length of the prompt, MaxOutputTokens the limit on generated tokens.
	Tokens, MaxOutputTokens int
	// Long is set for prompts of at least the configured minimum length of long prompts.
	Long bool
}

// MemoryTokens returns the maximum KV memory that the request occupies, in tokens.
func (pr Prompt) MemoryTokens() int { return pr.Tokens + pr.MaxOutputTokens }

// Candidate is a target that can serve the request, with its load as this instance knows it.
type Candidate struct {
	// Name is unique among candidates.
	Name string
	// OwnRequests counts the requests of this instance in flight, OwnPrefill their prompt tokens not yet computed, by length band.
	OwnRequests int
	OwnPrefill  [NumLengthBands]int
	// InFlightPrefill, InFlightLong and InFlightMemory are prompt tokens not yet computed, long prompts and KV memory in
	// tokens. They include the requests of peers, as of the last heartbeats, if the policy asks for the load of peers.
	InFlightPrefill [NumLengthBands]int
	InFlightLong    int
	InFlightMemory  int
	// ReportedPrefill is the number of prompt tokens not yet computed in the engine's last load report, which is stale.
	ReportedPrefill int
	// PrefillRate is in prompt tokens per second and always positive.
	PrefillRate float64
	// PrefillRateKnown is false if PrefillRate is an assumption, because no rate has been reported or observed yet.
	PrefillRateKnown bool
	// MemoryTotal is the KV memory of the engine in tokens; zero if unknown.
	MemoryTotal int
	// InterferenceDelay is the extra time that a short prompt takes on a target that also runs a long one, as observed.
	InterferenceDelay time.Duration
}

// Fits reports whether enough memory is free for the prompt and its output. It returns true if the total is unknown.
func (ca Candidate) Fits(rq Prompt) bool {
	return ca.MemoryTotal == 0 || ca.InFlightMemory+rq.MemoryTokens() <= ca.MemoryTotal
}

// PrefillTime returns the time that the target needs to compute this number of prompt tokens.
func (ca Candidate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / ca.PrefillRate * float64(time.Second))
}

// Limits are configured limits that every policy respects.
type Limits struct {
	// MaxLongPerTarget is the maximum number of long prompts on one target.
	MaxLongPerTarget int
	// MaxLongTargetShare is the maximum share of targets that take long prompts.
	MaxLongTargetShare float64
}

// Input is everything that a decision depends on.
type Input struct {
	Prompt Prompt
	// Candidates are in a fixed order and never empty.
	Candidates []Candidate
	Limits     Limits
	// Demand is valid only if HasDemand is set.
	Demand Demand
	// HasDemand is set for policies whose UsesDemand is set.
	HasDemand bool
	// Sequence increases with every decision of this instance. Each instance starts at a different number.
	Sequence uint64
}

// Demand is the load that callers offer to all instances together.
type Demand struct {
	// ShortRate is the arrival rate of short prompts in prompt tokens per second.
	ShortRate float64
	// RequiredLongRate is the rate in prompt tokens per second that waiting long prompts need to meet their deadlines.
	RequiredLongRate float64
}

// Decision is the outcome of a policy. The zero value means that the request waits.
type Decision struct {
	// Placed is set if a target was chosen.
	Placed bool
	// Index is the position of the chosen target in Input.Candidates.
	Index int
	// PredictedWait is the predicted time until the target starts to compute the prompt.
	PredictedWait time.Duration
}

// Policy is a routing policy: a function that chooses a target, and what the router has to provide for it.
type Policy struct {
	// Name is unique among registered policies.
	Name string
	// Rank orders policies by complexity, the simplest first.
	Rank int
	// UsesEnginePriorities is set if requests carry a priority to the engine that puts shorter length bands first.
	UsesEnginePriorities bool
	// UsesPeerLoad is set if decisions use the load that peers have in flight.
	UsesPeerLoad bool
	// UsesGrants is set if long prompts need a grant from the target's owner.
	UsesGrants bool
	// UsesOwners is set if short prompts go to targets that this instance owns or that another owner offers.
	UsesOwners bool
	// UsesDemand is set if the number of targets for long prompts depends on the demand.
	UsesDemand bool
	// Choose makes a decision. It has no side effects.
	Choose func(Input) Decision
}

// UnknownError is returned for a name that no registered policy has.
type UnknownError struct{ Name string }

// Error includes the name.
func (ue *UnknownError) Error() string { return fmt.Sprintf("unknown routing policy %q", ue.Name) }

var registered []Policy

// Register adds a policy. It must only be called from init functions, since it does not lock.
func Register(p Policy) {
	registered = append(registered, p)
	slices.SortFunc(registered, func(a, b Policy) int { return a.Rank - b.Rank })
}

// ByName returns the registered policy with this name, or an UnknownError.
func ByName(name string) (Policy, error) {
	for _, p := range registered {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, &UnknownError{Name: name}
}

// Names returns the names of the registered policies in the order of their ranks.
func Names() []string {
	names := make([]string, len(registered))
	for i, p := range registered {
		names[i] = p.Name
	}
	return names
}

// LeastCost returns the index in [0, n) with the lowest cost, and that cost. A hash of sequence breaks ties, so that
// instances with the same view do not all choose the same target. A negative cost excludes an index; if all are excluded,
// best is -1.
func LeastCost(n int, sequence uint64, cost func(i int) time.Duration) (best int, minCost time.Duration) {
	best = -1
	first := mixBits(sequence) % uint64(n)
	for k := range n {
		i := int((first + uint64(k)) % uint64(n))
		c := cost(i)
		if c >= 0 && (best < 0 || c < minCost) {
			best, minCost = i, c
		}
	}
	return best, minCost
}

// mixBits spreads each bit of a number over all its bits. It is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// TokensAhead returns the prefill tokens that an engine computes before a new prompt of the given band, if it computes
// shorter bands first: the sum over this band and all shorter ones.
func TokensAhead(prefill [NumLengthBands]int, band int) int {
	sum := 0
	for b := 0; b <= band; b++ {
		sum += prefill[b]
	}
	return sum
}

// TotalTokens returns the sum of the tokens of all bands.
func TotalTokens(prefill [NumLengthBands]int) int { return TokensAhead(prefill, NumLengthBands-1) }
