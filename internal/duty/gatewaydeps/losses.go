package gatewaydeps

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targetdial"
	"github.com/silvermount/silvermount/internal/targetloss"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// Losses passes what any part of the process learns of a target to the attempts in flight there. It is safe for concurrent use.
type Losses struct {
	*targetloss.Watcher
	directory *targets.Directory
	attempts  *inflightattempts.Registry
	// hasPeers reports whether another live instance is known.
	hasPeers func() bool
}

// newLosses returns the losses of an instance with the given paths.
func newLosses(instance string, dr *targets.Directory, attempts *inflightattempts.Registry, pt *paths) *Losses {
	ls := &Losses{directory: dr, attempts: attempts, hasPeers: func() bool { return pt.peers.hasOther(instance) }}
	ls.Watcher = targetloss.New(targetloss.Deps{
		Examine: func(target, address string) targetloss.Finding {
			return ls.restrict(target, pt.dialer.Examine(context.Background(), address))
		},
		LastSign: pt.state.LastSign, LastData: attempts.LastDataAt, OnLost: ls.onLost, Spawn: func(f func()) { go f() }, Now: time.Now,
	})
	return ls
}

// onLost ends the attempts that certain evidence ends. A target that cannot be reached is not chosen for a while.
func (ls *Losses) onLost(ev targetloss.Evidence) {
	if !ev.ByDial && (ev.Kind == targetloss.Unreachable || ev.Kind == targetloss.Refused) {
		ls.directory.RecordUnreachable(ev.Target)
	}
	ls.attempts.Record(ev)
}

// restrict returns what a finding shows of a target, given what else is known. A leaving target may refuse connections while it finishes
// its requests, so that only unanswered orders count against it. If there are peers of which none could be asked, the path of this
// instance may be lost.
func (ls *Losses) restrict(target string, fi targetloss.Finding) targetloss.Finding {
	alone := fi == targetloss.FoundAlone || fi == targetloss.FoundRefusedAlone
	refused := fi == targetloss.FoundRefused || fi == targetloss.FoundRefusedAlone
	switch {
	case alone && ls.hasPeers():
		return targetloss.FoundNothing
	case refused && ls.directory.IsLeaving(target):
		return targetloss.FoundConnected
	default:
		return fi
	}
}

// recordUnanswered records an order without an answer, unless it was not sent because this instance is isolated.
func (ls *Losses) recordUnanswered(al reservation.Allocation, sentAt time.Time, ue *reservation.UnansweredError) {
	var de *upstream.DialError
	if errors.As(ue.Cause, &de) && de.Isolated {
		return
	}
	ls.RecordUnanswered(al.Target, al.Address, sentAt)
}

// RecordDialFailure records a connection to a target that could not be opened.
func (ls *Losses) RecordDialFailure(tg targets.Target, err error) {
	var de *upstream.DialError
	if !errors.As(err, &de) || de.ProcessPaused || de.Isolated {
		return
	}
	if ls.attempts.InFlight(tg.ID) && !ls.directory.IsLeaving(tg.ID) {
		ls.Watcher.RecordDialFailure(tg.ID, tg.Address, ls.restrict(tg.ID, targetdial.FindingOf(err)))
	}
}

// recordSuperseded and recordGone are called with the lock of the directory held.

func (ls *Losses) recordSuperseded(tg targets.Target) {
	if ls.attempts.InFlight(tg.ID) {
		go func() {
			if ls.directory.IsLeaving(tg.ID) {
				// It may finish its requests beside the later incarnation.
				ls.RecordSuspicion(tg.ID, tg.Address)
				return
			}
			ls.RecordSuperseded(tg.ID)
		}()
	}
}

func (ls *Losses) recordGone(tg targets.Target) {
	if ls.attempts.InFlight(tg.ID) {
		go ls.RecordSuspicion(tg.ID, tg.Address)
	}
}
