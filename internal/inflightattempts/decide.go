package inflightattempts

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/targetloss"
)

// decision is what becomes of an attempt when a target of it is lost.
type decision int

const (
	// goOn lets the attempt continue.
	goOn decision = iota
	// endIfRetried ends it if another target can be tried.
	endIfRetried
	// end ends it in any case.
	end
)

// decide returns what becomes of the attempt. A target that is only silent may still answer, so that a request without reserved memory
// leaves it only for another one. Reserved memory must not wait for that.
func (at Attempt) decide(ev targetloss.Evidence, st Status, now time.Time) decision {
	usesMemory := slices.Contains(at.Memory, ev.Target)
	switch {
	case st.HasUnreadData || st.LastDataAt.After(ev.Since) && !st.Answered:
		return goOn
	case st.Answered:
		return at.decideAnswered(ev, usesMemory, st, now)
	case ev.Final():
		return end
	case at.AtMostOnce:
		return goOn
	case usesMemory:
		return end
	default:
		return endIfRetried
	}
}

// decideAnswered decides on an attempt whose response has begun. It ends only for the sake of reserved memory, and only if the response
// has stopped as well: a stream without reserved memory has a watchdog of its own.
func (at Attempt) decideAnswered(ev targetloss.Evidence, usesMemory bool, st Status, now time.Time) decision {
	if !usesMemory || at.AtMostOnce && !ev.Final() || now.Sub(st.LastDataAt) <= at.MaxSilence() {
		return goOn
	}
	return end
}
