// Package feedback reads what targets state about themselves in their answers (leaving, rate limit, back-off) and updates this
// instance's record of them.
package feedback

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/targets"
)

// Source is the kind of exchange that an answer belongs to.
type Source string

// The sources.
const (
	// RequestAnswer is an answer to a request, complete or not, including one that arrives too late for its request.
	RequestAnswer Source = "answer"
	// OrderAnswer is an answer to an order for memory.
	OrderAnswer Source = "order"
)

// Report is one answer of a target.
type Report struct {
	Source Source
	// RequestID is the id of the request that the exchange was for.
	RequestID string
	// Target is the incarnation that the request was addressed to.
	Target targets.Target
	Head   responsehead.Head
	// SentAt is when the request was sent. It is zero if that is unknown, and for orders: only an answer to a request shows that the
	// target accepts requests again, or that it no longer states a rate limit.
	SentAt time.Time
	// ReceivedAt is when the head of the answer arrived.
	ReceivedAt time.Time
}

// maxLoggedValues bounds the memory for logged values; once it is full, further malformed values are not logged.
const maxLoggedValues = 256

// loggedValue is one malformed value of a target that was logged.
type loggedValue struct {
	target string
	responsehead.MalformedError
}

// Recorder applies reports to the tracked state of targets. It is safe for concurrent use.
type Recorder struct {
	Deps

	mu sync.Mutex
	// logged holds the malformed values that were logged, so that each is logged once.
	logged map[loggedValue]struct{}
}

// Deps holds the dependencies of a Recorder. All must be set.
type Deps struct {
	Targets    *targets.Directory
	RateLimits *ratelimit.Tracker
	BackOffs   *backoff.Tracker
	// OnLeavingChange and OnRateLimitChange are called when peers must be told that a target is leaving, or of a changed rate limit.
	OnLeavingChange, OnRateLimitChange func()
	Log                                log.Interface
	// Now returns the time of a monotonic clock.
	Now func() time.Time
}

// New returns a Recorder that has logged nothing yet.
func New(dp Deps) *Recorder { return &Recorder{Deps: dp, logged: map[loggedValue]struct{}{}} }

// Record applies a report to the incarnation that answered, which may differ from the one that the request was addressed to.
func (rc *Recorder) Record(rp Report) {
	tg, known := rc.responder(rp)
	if !known {
		return
	}
	rc.logMalformed(tg, rp.Head)
	rc.recordLeaving(tg, rp)
	rc.recordRateLimit(tg, rp)
	rc.recordBackOff(tg, rp)
}

// responder returns the incarnation that answered: the one that the request was addressed to, unless the answer names another. It
// reports false if the responder is unknown.
func (rc *Recorder) responder(rp Report) (targets.Target, bool) {
	if rp.Head.TargetName == "" || rp.Head.TargetName == rp.Target.NameOrID() {
		return rp.Target, rp.Head.Verdict != responsehead.Misdirected
	}
	return rc.Targets.ByName(rp.Head.TargetName)
}

func (rc *Recorder) logMalformed(tg targets.Target, hd responsehead.Head) {
	for _, me := range hd.Malformed {
		if rc.markLogged(loggedValue{target: tg.ID, MalformedError: me}) {
			rc.Log.WithError(&me).WithFields(log.Fields{"target": tg.ID, "service": tg.Service}).Warn("malformed value in answer of target")
		}
	}
}

// markLogged reports whether a malformed value is to be logged now, and remembers that it was.
func (rc *Recorder) markLogged(lv loggedValue) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if _, seen := rc.logged[lv]; seen || len(rc.logged) >= maxLoggedValues {
		return false
	}
	rc.logged[lv] = struct{}{}
	return true
}

// logFields returns the log fields that all lines about an answer share.
func (rc *Recorder) logFields(tg targets.Target, rp Report) log.Fields {
	return log.Fields{
		"request": rp.RequestID, "target": tg.ID, "service": tg.Service, "source": string(rp.Source), "age": rc.ageOf(rp.ReceivedAt),
	}
}

func (rc *Recorder) ageOf(at time.Time) string {
	return rc.Now().Sub(at).Round(100 * time.Microsecond).String()
}

// recordLeaving marks a target as leaving if its answer says so.
func (rc *Recorder) recordLeaving(tg targets.Target, rp Report) {
	if !rp.Head.Leaving || !rc.Targets.MarkLeaving(tg.ID) {
		return
	}
	rc.Log.WithFields(rc.logFields(tg, rp)).Info("target leaving")
	rc.OnLeavingChange()
}

// recordRateLimit records the rate limit that an answer states. An answer whose limits are all malformed neither sets nor lifts
// one.
func (rc *Recorder) recordRateLimit(tg targets.Target, rp Report) {
	li := rp.Head.RateLimit
	if rp.Head.IsMalformed(responsehead.FieldRateLimit) && !li.Limited {
		return
	}
	ch, changed := rc.RateLimits.Observe(tg.ID, li, rp.SentAt, rp.ReceivedAt)
	if !changed {
		return
	}
	fs := rc.logFields(tg, rp)
	fs["limit"], fs["before"], fs["age"] = ch.Limit.String(), ch.Previous.String(), rc.ageOf(ch.At)
	rc.Log.WithFields(fs).Info("rate limit of target " + ch.Kind())
	rc.OnRateLimitChange()
}

// recordBackOff starts a back-off that an answer asks for; an answer that asks for none counts as a success.
func (rc *Recorder) recordBackOff(tg targets.Target, rp Report) {
	if rp.Head.BackOff > 0 {
		if rc.BackOffs.Begin(tg.ID, rp.Head.BackOff, rp.ReceivedAt) {
			fs := rc.logFields(tg, rp)
			fs["back_off"] = rp.Head.BackOff.String()
			rc.Log.WithFields(fs).Info("target asked for back-off")
		}
		return
	}
	if after, recovered := rc.BackOffs.RecordSuccess(tg.ID, rp.SentAt); recovered {
		fs := rc.logFields(tg, rp)
		fs["after"] = after.Round(time.Millisecond).String()
		rc.Log.WithFields(fs).Info("target accepts requests again")
	}
}
