package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/upstream"
)

// TestSilenceDuringPauseIsNotHeldAgainstTarget guards against requests that run twice after a pause of the process. The pause caught a
// request before its bytes had left, the silence timeout passed during it, and the timer fired before the request was sent and
// answered.
func TestSilenceDuringPauseIsNotHeldAgainstTarget(t *testing.T) {
	const timeout = time.Hour
	tests := map[string]struct {
		// late is how late the timer fires.
		late          time.Duration
		activity      bool
		wantCancelled bool
	}{
		"in time":                {0, false, true},
		"on a busy machine":      {maxTimerDelay, false, true},
		"after a pause":          {maxTimerDelay + 1, false, false},
		"after a long pause":     {2 * timeout, false, false},
		"in time, data received": {0, true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			wd := startSilenceWatchdog(timeout, func() bool { return true })
			wd.setHasActivity(func() bool { return tc.activity })
			now := wd.dueAt.Add(tc.late)
			wd.fire(now)
			if !tc.wantCancelled {
				g.Expect(wd.dueAt.Sub(now)).To(And(BeNumerically(">", 0), BeNumerically("<=", timeout)), "the timer is restarted")
			}
			g.Expect(wd.stop()).To(Equal(tc.wantCancelled))
		})
	}
}

// TestPauseBeforeTimeoutIsNotSilence guards against requests that run twice after a pause of the process which ended before the silence
// timeout: the timer fires in time, and the target has had less time than that to answer.
func TestPauseBeforeTimeoutIsNotSilence(t *testing.T) {
	const timeout = time.Hour
	g := NewWithT(t)
	var paused time.Duration
	cancelled := 0
	wd := startSilenceWatchdog(timeout, func() bool { cancelled++; return true }, withPauses(func() time.Duration { return paused }))
	defer wd.stop()
	paused = timeout / 2
	now := wd.dueAt
	wd.fire(now)
	g.Expect(cancelled).To(BeZero())
	g.Expect(wd.dueAt.Sub(now)).To(Equal(timeout/2), "the target gets the lost time again")
	wd.fire(wd.dueAt)
	g.Expect(cancelled).To(Equal(1), "a target that stays silent is given up")
}

// TestPauseIsNotSilenceWithinStream is the same for the silence between the head of a stream and its events.
func TestPauseIsNotSilenceWithinStream(t *testing.T) {
	const timeout = time.Hour
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		cn, err := ln.Accept()
		if err != nil {
			return // the listener was closed
		}
		defer cn.Close()
		_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n") // the call below fails without it
		_, _ = io.Copy(io.Discard, cn)                                              // ends with the connection
	}()
	pl := upstream.NewPool(time.Now, metrics.NewSet(), time.Minute)
	rs, err := pl.Do(t.Context(), upstream.Call{Address: ln.Addr().String(), Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	defer rs.Close()
	var paused time.Duration
	var silences []time.Duration
	wd := startStallWatchdog(rs, func() bool { return false }, func() time.Duration { return paused }, timeout, func(silence time.Duration) bool {
		silences = append(silences, silence)
		return true
	})
	defer wd.stop()
	paused = timeout / 2
	wd.lastEventAt = wd.lastEventAt.Add(-timeout)
	wd.fire()
	g.Expect(silences).To(BeEmpty())
	g.Expect(wd.hasFired()).To(BeFalse())
	wd.fire()
	g.Expect(silences).To(HaveLen(1))
	g.Expect(silences[0]).To(BeNumerically("~", timeout/2, time.Minute), "the pause is no silence of the target")
	g.Expect(wd.hasFired()).To(BeTrue())
}
