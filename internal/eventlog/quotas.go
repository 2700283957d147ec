package eventlog

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxKinds limits the kinds that are counted separately. It is several times the number of different messages in the program.
	maxKinds = 256
	// otherKinds is the kind under which all lines of kinds beyond maxKinds are counted.
	otherKinds = "other kinds"
)

// quota counts the lines of one kind.
type quota struct {
	// normal and urgent are the numbers of lines admitted in the current second.
	normal, urgent int
	// dropped is the number of lines dropped since the last takeDropped.
	dropped int
}

// dropCount is the number of dropped lines of a kind.
type dropCount struct {
	kind  string
	count int
}

// quotas limits the lines of each kind per second.
type quotas struct {
	// normalLimit and urgentLimit apply to each kind separately.
	normalLimit, urgentLimit int

	mu sync.Mutex
	// second is the Unix time of the second that is being counted.
	second int64
	// kinds has at most maxKinds+1 entries.
	kinds map[string]quota
}

func newQuotas(normalLimit, urgentLimit int) *quotas {
	return &quotas{normalLimit: normalLimit, urgentLimit: urgentLimit, kinds: map[string]quota{}}
}

// admit counts a line as admitted or dropped, and reports whether it may be written.
func (qs *quotas) admit(now time.Time, kind string, urgent bool) bool {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.startSecond(now.Unix())
	kind = qs.boundedKind(kind)
	q := qs.kinds[kind]
	ok := q.admit(urgent, qs.normalLimit, qs.urgentLimit)
	qs.kinds[kind] = q
	return ok
}

// admit counts a line under its limit if there is room, otherwise as dropped.
func (q *quota) admit(urgent bool, commonLimit, urgentLimit int) bool {
	switch {
	case urgent && q.urgent < urgentLimit:
		q.urgent++
	case !urgent && q.normal < commonLimit:
		q.normal++
	default:
		q.dropped++
		return false
	}
	return true
}

// addDropped counts lines that were admitted but not written.
func (qs *quotas) addDropped(kind string, count int) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	kind = qs.boundedKind(kind)
	q := qs.kinds[kind]
	q.dropped += count
	qs.kinds[kind] = q
}

// takeDropped returns and resets the counts of dropped lines, sorted by kind.
func (qs *quotas) takeDropped() []dropCount {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	var dcs []dropCount
	for kind, q := range qs.kinds {
		if q.dropped == 0 {
			continue
		}
		dcs = append(dcs, dropCount{kind: kind, count: q.dropped})
		q.dropped = 0
		qs.kinds[kind] = q
	}
	slices.SortFunc(dcs, func(a, b dropCount) int { return strings.Compare(a.kind, b.kind) })
	return dcs
}

// startSecond resets the limits when a new second starts, and deletes kinds without dropped lines to report. A caller that read the
// clock just before the new second is counted in it. A clock that was set back by more than a second also resets the limits.
func (qs *quotas) startSecond(second int64) {
	if second == qs.second || second == qs.second-1 {
		return
	}
	qs.second = second
	for kind, q := range qs.kinds {
		if q.dropped == 0 {
			delete(qs.kinds, kind)
			continue
		}
		qs.kinds[kind] = quota{dropped: q.dropped}
	}
}

// boundedKind returns the kind under which a line is counted: its own, or otherKinds if maxKinds are in use.
func (qs *quotas) boundedKind(kind string) string {
	if _, ok := qs.kinds[kind]; ok || len(qs.kinds) < maxKinds {
		return kind
	}
	return otherKinds
}
