// Package memoryreservation reserves memory on several engines for a prompt that is larger than one engine. A reservation covers the whole
// prompt or fails.
package memoryreservation

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// LendableDivisor determines the maximum memory of one engine that can be lent: its total divided by this number.
	LendableDivisor = 2
	// reserveTimeout limits the call to one engine.
	reserveTimeout = time.Second
)

// Reserver reserves memory on engines.
type Reserver struct {
	fleet   *fleet.Fleet
	client  func(fleet.Target) *engine.Client
	release func(attempt string, cl *engine.Client)
}

// New returns a Reserver. The function release must end the reservation of an attempt, and repeat the call until it succeeds.
func New(fl *fleet.Fleet, client func(fleet.Target) *engine.Client, release func(attempt string, cl *engine.Client)) *Reserver {
	return &Reserver{fleet: fl, client: client, release: release}
}

// memoryShare is the memory to reserve on one engine, in tokens.
type memoryShare struct {
	target      fleet.Target
	reservation engine.MemoryHold
	memory      int
}

// Reserve reserves memory on the main target and on others, in the order of their names. This order makes two competing prompts
// meet at the first engine, where one of them fails before it holds anything. If any engine fails, all reservations are released.
func (rs *Reserver) Reserve(ctx context.Context, main fleet.Target, tokens int, maxHold time.Duration) (release func(), err error) {
	shares, missing := rs.plan(main, tokens, maxHold)
	if missing > 0 {
		return nil, failure.New(failure.NoMemory, failure.NotRun, "%d tokens of memory are missing", missing).WithRetryAfter(time.Second)
	}
	for i, sh := range shares {
		if err := rs.reserve(ctx, sh); err != nil {
			held := shares[:i+1] // the failed reservation may have taken effect, with only the answer lost
			if engine.IsDialError(err) {
				rs.fleet.MarkUnreachable(sh.target.Name)
				held = shares[:i]
			}
			rs.releaseAll(held)
			return nil, failure.New(failure.NoMemory, failure.NotRun, "%s has no room", sh.target.Name).WithCause(err)
		}
	}
	for _, sh := range shares {
		rs.fleet.AddLoad(sh.target.Name, fleet.Load{MemoryTokens: sh.memory})
	}
	return func() {
		for _, sh := range shares {
			rs.fleet.RemoveLoad(sh.target.Name, fleet.Load{MemoryTokens: sh.memory})
		}
		rs.releaseAll(shares)
	}, nil
}

// reserve reserves the share of one engine.
func (rs *Reserver) reserve(ctx context.Context, sh memoryShare) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return rs.client(sh.target).Reserve(ctx, sh.reservation)
}

// plan divides the memory of a prompt into shares, sorted by the name of the engine. The share of the main target is as large as
// it can lend. The number missing is that of tokens for which no engine has memory; the shares are usable only if it is 0.
func (rs *Reserver) plan(main fleet.Target, tokens int, maxHold time.Duration) (shares []memoryShare, missing int) {
	model := ""
	if len(main.Models) > 0 {
		model = main.Models[0]
	}
	cs := rs.fleet.Candidates(fleet.Filter{Model: model, IncludePeerLoad: true})
	// Engines that need a probe are excluded: an unreachable engine makes every reservation fail that it is part of.
	lenders := slices.DeleteFunc(cs.Candidates, func(ca policy.Candidate) bool { return cs.NeedsProbe[ca.Name] })
	slices.SortFunc(lenders, func(a, b policy.Candidate) int { return strings.Compare(a.Name, b.Name) })
	mainShare := 0
	for _, ca := range lenders {
		if ca.Name == main.Name {
			mainShare = min(tokens, lendable(ca))
		}
	}
	if mainShare <= 0 {
		return nil, tokens
	}
	// The share of the main engine is subtracted first, but reserved at its position in the order of names.
	missing = tokens - mainShare
	for _, ca := range lenders {
		share := min(missing, lendable(ca))
		if ca.Name == main.Name {
			share = mainShare
		} else {
			missing -= max(0, share)
		}
		t, ok := rs.fleet.Target(ca.Name)
		if share <= 0 || !ok {
			continue
		}
		shares = append(shares, memoryShare{target: t, memory: share, reservation: engine.MemoryHold{
			Attempt: ident.New("room"), Holder: rs.fleet.Self().Incarnation, Tokens: share, RemainingMillis: maxHold.Milliseconds(),
		}})
	}
	return shares, missing
}

// lendable returns the memory that an engine can lend while it still accepts short prompts. It is negative if more is in use.
func lendable(ca policy.Candidate) int {
	return ca.MemoryTotal/LendableDivisor - ca.InFlightMemory
}

// releaseAll releases the reservations of the given shares.
func (rs *Reserver) releaseAll(shares []memoryShare) {
	for _, sh := range shares {
		rs.release(sh.reservation.Attempt, rs.client(sh.target))
	}
}
