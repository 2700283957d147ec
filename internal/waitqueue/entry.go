package waitqueue

import (
	"cmp"
	"time"
)

// overdueShare is the share of the time from arrival until the deadline after which a waiting request goes before all others that
// have not waited for as long. No request shall wait for more than half of that time; the rest of it, a tenth, is for those that
// became overdue before.
const overdueShare = 0.4

// Entry describes a waiting request. Only Late changes while it waits.
type Entry struct {
	// Returning is set for a caller that came back at the time that it was promised.
	Returning bool
	// Arrived is when the request arrived, and Deadline when its caller gives up.
	Arrived, Deadline time.Time
	// Objective is the limit on the time from arrival to the first token.
	Objective time.Duration
	// PredictedFirstToken is the predicted time to the first token on an idle target.
	PredictedFirstToken time.Duration
	// Worth is that of an answer in time, in points, and EngineTime what its answer costs; at least 0.
	Worth      float64
	EngineTime time.Duration
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Need orders requests by how much free capacity they need: one that finds no room implies that no request with the same or a
	// greater need finds any.
	Need int64
	// Selective is set for a request that may not use all targets of its service. That it finds no room says nothing of others.
	Selective bool
	// Late is set for a request that found room where it would be late, although its slack has not ended.
	Late bool

	// latestStart, overdueAt and worthPerSecond are derived from the fields above when the request joins, since each turn compares them for
	// all waiters. worthPerSecond is the worth for each second of engine time.
	latestStart, overdueAt time.Time
	worthPerSecond         float64
}

// Slack is the time for which the request can still wait and be in time; negative if it cannot be in time.
func (en *Entry) Slack(now time.Time) time.Duration {
	return en.Arrived.Add(en.Objective - en.PredictedFirstToken).Sub(now)
}

// prepared returns a copy with the derived fields.
func (en Entry) prepared() Entry {
	en.latestStart = en.Arrived.Add(en.Objective - en.PredictedFirstToken)
	en.overdueAt = en.Arrived.Add(time.Duration(overdueShare * float64(en.Deadline.Sub(en.Arrived))))
	en.worthPerSecond = en.Worth / max(en.EngineTime, time.Millisecond).Seconds()
	return en
}

// rank groups requests: a lower one goes first.
type rank int

const (
	rankOverdue rank = iota
	rankReturning
	rankInTime
	rankLateReturning
	rankLate
)

func (en *Entry) rank(now time.Time) rank {
	inTime := !en.Late && !now.After(en.latestStart)
	switch {
	case !now.Before(en.overdueAt):
		return rankOverdue
	case inTime && en.Returning:
		return rankReturning
	case inTime:
		return rankInTime
	case en.Returning:
		return rankLateReturning
	default:
		return rankLate
	}
}

// compare returns a negative number if a, whose rank is ra, goes before b, whose rank is rb; a positive one if b goes before a; and zero if
// only the order of joining tells them apart. Both are prepared.
func compare(a, b *Entry, ra, rb rank) int {
	if ra != rb {
		return int(ra - rb)
	}
	byRule := 0
	switch ra {
	case rankOverdue:
		byRule = a.overdueAt.Compare(b.overdueAt)
	case rankReturning, rankInTime:
		byRule = a.latestStart.Compare(b.latestStart)
	case rankLateReturning, rankLate:
		byRule = cmp.Compare(b.worthPerSecond, a.worthPerSecond)
	}
	if byRule != 0 {
		return byRule
	}
	return a.Arrived.Compare(b.Arrived)
}
