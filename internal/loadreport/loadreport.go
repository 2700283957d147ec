// Package loadreport joins what the parts of load control tell peers into one report, and hands the parts of a peer's report to those that
// they are for.
package loadreport

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/peercodec"
)

// Kind identifies a part of a report on the wire.
type Kind uint8

// The kinds.
const (
	// KindQueues is what waits at an instance.
	KindQueues Kind = 1
	// KindReturnTimes is the return times that an instance has promised.
	KindReturnTimes Kind = 2
	// KindUsage is the engine time that organisations have used.
	KindUsage Kind = 3
	// KindPace is the pace of targets.
	KindPace Kind = 4
)

const (
	// MaxBytes is the maximum size of a report. With reports of this size ten times a second, an instance sends less than its loads take.
	MaxBytes = 16 << 10
	// minPublishInterval is the minimum time between two reports. The beliefs in them age over hundreds of milliseconds.
	minPublishInterval = 100 * time.Millisecond
	// maxReceivedPerSecond bounds the reports that an instance receives from all its peers: in a larger fleet each sends less often.
	maxReceivedPerSecond = 1000
	// partHeaderBytes is the maximum size of the kind and the length before each part.
	partHeaderBytes = 1 + binary.MaxVarintLen32
)

// Part is one part of load control that tells peers something. Its functions may be called concurrently with each other.
type Part struct {
	// Encode returns what this instance tells its peers at a time; empty if there is nothing to tell.
	Encode func(now time.Time) []byte
	// Receive applies what a peer told. The peer made it at the given time, on this instance's monotonic clock. The body is empty if the
	// peer had nothing to tell.
	Receive func(peer string, body []byte, at time.Time)
	// Forget removes what a lost peer told.
	Forget func(peer string)
}

// Exchange holds the registered parts. It is safe for concurrent use.
type Exchange struct {
	now       func() time.Time
	lg        log.Interface
	onOmitted func()
	// members returns the number of other instances.
	members func() int

	mu sync.Mutex
	// publish marks the report as changed; nil until SetPublish.
	publish func()
	// order holds the kinds in the order of registration. Parts that are registered first are the last to be left out.
	order []Kind
	parts map[Kind]Part
	// timer publishes the report once the publish interval is over; nil if no publication is pending.
	timer *time.Timer
	// publishedAt is when the report was last marked as changed; zero before.
	publishedAt time.Time
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithMembers sets the function that returns the number of other instances. Without it, the fleet counts as small.
func WithMembers(members func() int) Option {
	return func(ex *Exchange) { ex.members = members }
}

// New returns an exchange without parts. onOmitted is called for each part that is left out of a report for its size; it may be nil.
func New(now func() time.Time, lg log.Interface, onOmitted func(), opts ...Option) *Exchange {
	ex := &Exchange{now: now, lg: lg, onOmitted: onOmitted, members: func() int { return 0 }, parts: map[Kind]Part{}}
	for _, opt := range opts {
		opt(ex)
	}
	return ex
}

// publishInterval returns the time between two reports of this instance.
func (ex *Exchange) publishInterval() time.Duration {
	return max(minPublishInterval, time.Duration(ex.members())*time.Second/maxReceivedPerSecond)
}

// Register adds a part. A kind is registered at most once, before the first report.
func (ex *Exchange) Register(kind Kind, pt Part) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.order = append(ex.order, kind)
	ex.parts[kind] = pt
}

// SetPublish sets the function that marks the report as changed.
func (ex *Exchange) SetPublish(publish func()) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.publish = publish
}

// Publish requests that the report is sent again, at once or when the publish interval is over. It never blocks.
func (ex *Exchange) Publish() {
	interval := ex.publishInterval()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.publish == nil || ex.timer != nil {
		return
	}
	wait := interval - ex.now().Sub(ex.publishedAt)
	if ex.publishedAt.IsZero() || wait <= 0 {
		ex.publishedAt = ex.now()
		ex.publish()
		return
	}
	ex.timer = time.AfterFunc(wait, ex.publishPending)
}

// publishPending is called by the timer.
func (ex *Exchange) publishPending() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.timer = nil
	ex.publishedAt = ex.now()
	ex.publish()
}

// registered returns the parts in the order of registration.
func (ex *Exchange) registered() ([]Kind, []Part) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	parts := make([]Part, len(ex.order))
	for i, kind := range ex.order {
		parts[i] = ex.parts[kind]
	}
	return ex.order[:len(ex.order):len(ex.order)], parts
}

// Encode returns the report of this instance. It is nil if no part is registered, so that nothing is sent.
func (ex *Exchange) Encode() []byte {
	kinds, parts := ex.registered()
	if len(kinds) == 0 {
		return nil
	}
	now := ex.now()
	b := []byte{}
	for i, pt := range parts {
		body := pt.Encode(now)
		if len(b)+partHeaderBytes+len(body) > MaxBytes {
			ex.lg.WithField("kind", int(kinds[i])).WithField("bytes", len(body)).Warn("part of the load report left out: report too large")
			if ex.onOmitted != nil {
				ex.onOmitted()
			}
			continue
		}
		b = append(b, byte(kinds[i]))
		b = binary.AppendUvarint(b, uint64(len(body)))
		b = append(b, body...)
	}
	return b
}

// Receive applies the report that a peer made at a time. Parts of unknown kinds are skipped. It fails with a peercodec.MalformedError,
// and then applies none of the report.
func (ex *Exchange) Receive(peer string, b []byte, at time.Time) error {
	bodies, err := split(b)
	if err != nil {
		return err
	}
	kinds, parts := ex.registered()
	for i, pt := range parts {
		if body, ok := bodies[kinds[i]]; ok {
			pt.Receive(peer, body, at)
		}
	}
	return nil
}

// split returns the bodies of the parts of a report.
func split(b []byte) (map[Kind][]byte, error) {
	if len(b) > MaxBytes {
		return nil, &peercodec.MalformedError{Reason: "load report too large"}
	}
	bodies := map[Kind][]byte{}
	rd := peercodec.NewReader(b)
	for rd.Remaining() > 0 && !rd.Failed() {
		kind := rd.ReadBytes(1)
		body := rd.ReadBytes(int(rd.ReadUvarint(MaxBytes)))
		if !rd.Failed() {
			bodies[Kind(kind[0])] = body
		}
	}
	return bodies, rd.Finish()
}

// Forget removes what a lost peer told.
func (ex *Exchange) Forget(peer string) {
	_, parts := ex.registered()
	for _, pt := range parts {
		pt.Forget(peer)
	}
}
