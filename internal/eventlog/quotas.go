package eventlog

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxKinds bounds the kinds that are counted apart: several times the messages in the program.
	maxKinds = 256
	// otherKinds is the kind of all lines beyond maxKinds.
	otherKinds = "other kinds"
)

// quota counts the lines of one kind.
type quota struct {
	// common and urgent are the lines admitted in the current second.
	normal, urgent int
	// leftOut are the lines left out since the last take.
	dropped int
}

// leftOut is how many lines of a kind were left out.
type dropCount struct {
	kind  string
	count int
}

// quotas bounds how many lines of each kind are written in a second.
type quotas struct {
	// common and urgent are the limits for each kind.
	normalLimit, urgentLimit int

	mu sync.Mutex
	// second is the Unix time of the current second.
	second int64
	// kinds has at most maxKinds+1 entries.
	kinds map[string]quota
}

func newQuotas(common, urgent int) *quotas {
	return &quotas{normalLimit: common, urgentLimit: urgent, kinds: map[string]quota{}}
}

// admit counts a line and reports whether it may be written.
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

// add counts a line under its limit or as left out.
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

// leaveOut counts lines that were admitted and could not be written.
func (qs *quotas) addDropped(kind string, count int) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	kind = qs.boundedKind(kind)
	q := qs.kinds[kind]
	q.dropped += count
	qs.kinds[kind] = q
}

// take returns what was left out since the last call, sorted by kind.
func (qs *quotas) takeDropped() []dropCount {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	var los []dropCount
	for kind, q := range qs.kinds {
		if q.dropped == 0 {
			continue
		}
		los = append(los, dropCount{kind: kind, count: q.dropped})
		q.dropped = 0
		qs.kinds[kind] = q
	}
	slices.SortFunc(los, func(a, b dropCount) int { return strings.Compare(a.kind, b.kind) })
	return los
}

// turn starts a new second: limits start anew and kinds with nothing left to tell are forgotten. A caller that read
// the clock just before the second ended counts in the new one; a clock set back further starts anew.
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

// key returns the kind under which a line is counted.
func (qs *quotas) boundedKind(kind string) string {
	if _, ok := qs.kinds[kind]; ok || len(qs.kinds) < maxKinds {
		return kind
	}
	return otherKinds
}
