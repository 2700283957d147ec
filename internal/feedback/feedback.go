// Package feedback takes what targets say of themselves in their answers, and keeps the beliefs that follow from it.
package feedback

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

// Source is what was answered.
type Source string

// The sources.
const (
	// Request is an answer to a request, whole or not, also one that came too late for the request it belongs to.
	RequestAnswer Source = "answer"
	// Order is an answer to an order for memory.
	OrderAnswer Source = "order"
)

// Report is one answer that came.
type Report struct {
	Source Source
	// Request is the id of the request that the exchange was for.
	RequestID string
	// Target is the incarnation that was meant.
	Target targets.Target
	Head   answer.Head
	// Sent is when the request was sent. It is zero where that is not known, and for orders: only an answer to a request shows that the target
	// takes requests again, or that it names no limit any more.
	SentAt time.Time
	// Came is when the head came.
	ReceivedAt time.Time
}

// maxMalformed bounds the values remembered as logged.
const maxLoggedValues = 256

// malformed is one value that was logged.
type loggedValue struct {
	target string
	answer.MalformedError
}

// Recorder takes reports. It is safe for use by any goroutine.
type Recorder struct {
	Deps

	mu sync.Mutex
	// logged holds the malformed values that were logged.
	logged map[loggedValue]struct{}
}

// Deps are the parts that a Recorder works with. All are set.
type Deps struct {
	Targets    *targets.Directory
	RateLimits *ratelimit.Tracker
	BackOffs   *backoff.Tracker
	// LeavingChanged and LimitsChanged are told when peers have to hear that a target leaves, and of a rate limit.
	OnLeavingChange, OnRateLimitChange func()
	Log                                log.Interface
	// Now is the steady clock.
	Now func() time.Time
}

// New returns a recorder.
func New(dp Deps) *Recorder { return &Recorder{Deps: dp, logged: map[loggedValue]struct{}{}} }

// Record takes a report. An answer speaks for the incarnation that gave it, and for no other.
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

// speaker returns the incarnation that gave an answer: the one that was meant, unless the answer names another. It reports false when that
// one is not known.
func (rc *Recorder) responder(rp Report) (targets.Target, bool) {
	if rp.Head.TargetName == "" || rp.Head.TargetName == rp.Target.NameOrID() {
		return rp.Target, rp.Head.Verdict != answer.Misdirected
	}
	return rc.Targets.ByName(rp.Head.TargetName)
}

func (rc *Recorder) logMalformed(tg targets.Target, hd answer.Head) {
	for _, me := range hd.Malformed {
		if rc.markLogged(loggedValue{target: tg.ID, MalformedError: me}) {
			rc.Log.WithError(&me).WithFields(log.Fields{"target": tg.ID, "service": tg.Service}).Warn("answer of target cannot be read")
		}
	}
}

// first reports whether a malformed value was not logged before.
func (rc *Recorder) markLogged(ma loggedValue) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if _, seen := rc.logged[ma]; seen || len(rc.logged) >= maxLoggedValues {
		return false
	}
	rc.logged[ma] = struct{}{}
	return true
}

// fields are those of each line about a target's word.
func (rc *Recorder) logFields(tg targets.Target, rp Report) log.Fields {
	return log.Fields{
		"request": rp.RequestID, "target": tg.ID, "service": tg.Service, "source": string(rp.Source), "age": rc.ageOf(rp.ReceivedAt),
	}
}

func (rc *Recorder) ageOf(at time.Time) string {
	return rc.Now().Sub(at).Round(100 * time.Microsecond).String()
}

// noteLeaving takes the word that a target leaves.
func (rc *Recorder) recordLeaving(tg targets.Target, rp Report) {
	if !rp.Head.Leaving || !rc.Targets.MarkLeaving(tg.ID) {
		return
	}
	rc.Log.WithFields(rc.logFields(tg, rp)).Info("target leaving")
	rc.OnLeavingChange()
}

// noteLimit takes what an answer says of the rate limit of its target. One whose limits cannot be read neither sets nor lifts one.
func (rc *Recorder) recordRateLimit(tg targets.Target, rp Report) {
	li := rp.Head.RateLimit
	if rp.Head.IsMalformed(answer.FieldRateLimit) && !li.Limited {
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

// noteBackOff takes a target's wish for no further requests, and an answer that shows that it takes some.
func (rc *Recorder) recordBackOff(tg targets.Target, rp Report) {
	if rp.Head.BackOff > 0 {
		if rc.BackOffs.Begin(tg.ID, rp.Head.BackOff, rp.ReceivedAt) {
			fs := rc.logFields(tg, rp)
			fs["back_off"] = rp.Head.BackOff.String()
			rc.Log.WithFields(fs).Info("target wants no requests")
		}
		return
	}
	if after, opened := rc.BackOffs.RecordSuccess(tg.ID, rp.SentAt); opened {
		fs := rc.logFields(tg, rp)
		fs["after"] = after.Round(time.Millisecond).String()
		rc.Log.WithFields(fs).Info("target takes requests again")
	}
}
