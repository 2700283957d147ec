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

// minOnceSilence is how long a target must have left all orders unanswered to end a request that may run once and has memory reserved there.
// It is two renewals of three in a lease: the memory there is about to expire, and the answer with it. A target that is frozen for two
// seconds answers a later order.
const minOnceSilence = 2 * time.Second

// minOrders is how many orders without an answer release memory at a target that refuses new connections, or of a request that may run once.
const minOrders = 2

// decide returns what becomes of the attempt. A target that is only silent may still answer, so that a request without reserved memory
// leaves it only for another one. Reserved memory must not wait for that.
func (at Attempt) decide(ev targetloss.Evidence, st Status, now time.Time) decision {
	usesMemory := slices.Contains(at.Memory, ev.Target)
	refused := ev.Kind == targetloss.Refused
	switch {
	case refused && st.Sent && ev.Orders < minOrders:
		// If the process has ended, the connection of the attempt breaks by itself.
		return goOn
	case st.HasUnreadData || st.LastDataAt.After(ev.Since) && !st.Answered:
		return goOn
	case st.Answered && (!usesMemory || now.Sub(st.LastDataAt) <= at.MaxSilence()):
		// A stream that has stopped and uses no reserved memory has a watchdog of its own.
		return goOn
	case ev.Final() || refused && !st.Sent:
		return end
	case at.AtMostOnce && (!usesMemory || ev.Orders < minOrders || ev.At.Sub(ev.FirstOrderAt) < minOnceSilence):
		return goOn
	case usesMemory:
		return end
	default:
		return endIfRetried
	}
}
