package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/routes"
)

// TestLogTellsWhatIsReached checks that the log of a request that no target took tells an instance that is cut off from all targets from
// one that only this target refuses.
func TestLogTellsWhatIsReached(t *testing.T) {
	tests := map[string]struct {
		peersAge     time.Duration
		linked       bool
		reached      bool
		wantPeersAge string
		wantReached  any
	}{
		"peers heard, no target reached": {20 * time.Millisecond, true, false, "20ms", Equal("never")},
		"linked to no peer":              {0, false, false, "none", Equal("never")},
		"peers heard, a target reached":  {20 * time.Millisecond, true, true, "20ms", Not(Equal("never"))},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw, mh := newGatewayWithTarget("127.0.0.1:1", routes.Route{Repeatable: true, Timeout: time.Second, MaxAttempts: 1}), memory.New()
			gw.Log = &log.Logger{Handler: mh}
			gw.PeersHeardAge = func() (time.Duration, bool) { return tc.peersAge, tc.linked }
			if tc.reached {
				gw.Targets.RecordReachable("t")
			}
			g.Expect(get(gw, "1", "")).To(Equal(http.StatusServiceUnavailable))
			for _, message := range []string{"target left out after connection failure", "request refused"} {
				fs := fieldsOf(mh, message)
				g.Expect(fs).To(HaveKeyWithValue("peers_age", tc.wantPeersAge), message)
				g.Expect(fs).To(HaveKeyWithValue("reached_age", tc.wantReached), message)
			}
		})
	}
}

// fieldsOf returns the fields of the last log entry with a message; nil if there is none.
func fieldsOf(mh *memory.Handler, message string) log.Fields {
	var fs log.Fields
	for _, en := range mh.Entries {
		if en.Message == message {
			fs = en.Fields
		}
	}
	return fs
}
