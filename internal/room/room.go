// Package room reserves memory on several engines for a prompt that is larger than one, all or nothing.
package room

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
	// LendPart is the part of one engine's memory that is lent at the most: one in so many.
	LendableDivisor = 2
	// callTimeout bounds one reservation.
	reserveTimeout = time.Second
)

// Lender reserves memory.
type Reserver struct {
	fleet   *fleet.Fleet
	client  func(fleet.Target) *engine.Client
	release func(attempt string, cl *engine.Client)
}

// New returns a lender. release ends a reservation, repeatedly if need be.
func New(fl *fleet.Fleet, client func(fleet.Target) *engine.Client, release func(attempt string, cl *engine.Client)) *Reserver {
	return &Reserver{fleet: fl, client: client, release: release}
}

type memoryShare struct {
	target fleet.Target
	room   engine.Held
	memory int
}

// Reserve takes memory on main and on others, in the order of their names, so that two prompts meet at the
// first engine and one of them gives way before it holds anything. When any part fails, all are given back.
func (rs *Reserver) Reserve(ctx context.Context, main fleet.Target, tokens int, hold time.Duration) (release func(), err error) {
	parts, left := rs.plan(main, tokens, hold)
	if left > 0 {
		return nil, failure.New(failure.NoMemory, failure.NotRun, "%d tokens of memory are missing", left).WithRetryAfter(time.Second)
	}
	for i, p := range parts {
		if err := rs.reserve(ctx, p); err != nil {
			held := parts[:i+1] // the reservation that failed may have taken effect without an answer
			if engine.NeverConnected(err) {
				rs.fleet.MarkUnreachable(p.target.Name)
				held = parts[:i]
			}
			rs.releaseAll(held)
			return nil, failure.New(failure.NoMemory, failure.NotRun, "%s has no room", p.target.Name).WithCause(err)
		}
	}
	for _, p := range parts {
		rs.fleet.AddLoad(p.target.Name, fleet.Load{MemoryTokens: p.memory})
	}
	return func() {
		for _, p := range parts {
			rs.fleet.RemoveLoad(p.target.Name, fleet.Load{MemoryTokens: p.memory})
		}
		rs.releaseAll(parts)
	}, nil
}

func (rs *Reserver) reserve(ctx context.Context, p memoryShare) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return rs.client(p.target).Reserve(ctx, p.room)
}

func (rs *Reserver) plan(main fleet.Target, tokens int, hold time.Duration) (parts []memoryShare, left int) {
	model := ""
	if len(main.Models) > 0 {
		model = main.Models[0]
	}
	vw := rs.fleet.Candidates(fleet.Filter{Model: model, IncludePeerLoad: true})
	// An engine that nobody has heard of lately would spoil every reservation that it is part of.
	lenders := slices.DeleteFunc(vw.Candidates, func(ca policy.Candidate) bool { return vw.NeedsProbe[ca.Name] })
	slices.SortFunc(lenders, func(a, b policy.Candidate) int { return strings.Compare(a.Name, b.Name) })
	keep := 0
	for _, ca := range lenders {
		if ca.Name == main.Name {
			keep = min(tokens, lendable(ca))
		}
	}
	if keep <= 0 {
		return nil, tokens
	}
	// The main engine's part comes off first, and is reserved in its place in the order of names.
	left = tokens - keep
	for _, ca := range lenders {
		take := min(left, lendable(ca))
		if ca.Name == main.Name {
			take = keep
		} else {
			left -= max(0, take)
		}
		t, ok := rs.fleet.Target(ca.Name)
		if take <= 0 || !ok {
			continue
		}
		parts = append(parts, memoryShare{target: t, memory: take, room: engine.Held{
			Attempt: ident.New("room"), Holder: rs.fleet.Self().Incarnation, Tokens: take, LeftMillis: hold.Milliseconds(),
		}})
	}
	return parts, left
}

// lendable is the memory that an engine can lend and still take short prompts.
func lendable(ca policy.Candidate) int {
	return ca.MemoryTotal/LendableDivisor - ca.InFlightMemory
}

func (rs *Reserver) releaseAll(parts []memoryShare) {
	for _, p := range parts {
		rs.release(p.room.Attempt, rs.client(p.target))
	}
}
