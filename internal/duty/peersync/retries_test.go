package peersync

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
	"github.com/silvermount/silvermount/internal/targets"
)

// unansweredError means that a peer does not answer.
type unansweredError struct{}

func (unansweredError) Error() string { return "no answer" }

// retryZone is the instances of one availability zone, whose views of the holder a test sets.
type retryZone struct {
	instances map[string]*sharedRetries
	// holder is the holder in the view of each instance.
	holder map[string]string
	// down holds the instances that do not answer.
	down map[string]bool
}

// newRetryZone returns two instances. The first is the holder, and its ledger has the given number of retries.
func newRetryZone(ledger int) *retryZone {
	rz := &retryZone{instances: map[string]*sharedRetries{}, holder: map[string]string{"a": "a", "b": "a"}, down: map[string]bool{}}
	for _, name := range []string{"a", "b"} {
		rz.instances[name] = &sharedRetries{
			self:     gossip.Member{Name: name, AvailabilityZone: "z"},
			issuerOf: func(targets.Target) gossip.Member { return gossip.Member{Name: rz.holder[name], AvailabilityZone: "z"} },
			query:    rz.query, held: newHeld(&ledger), lg: &log.Logger{Handler: discard.New()},
			granted: &metrics.Counter{}, refused: &metrics.Counter{}, unanswered: &metrics.Counter{},
		}
	}
	return rz
}

// newHeld returns accounts that reserve from a ledger which answers after a moment.
func newHeld(left *int) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Options{
		Ratio: 0.2, Now: time.Now, Spawn: func(f func()) { time.AfterFunc(time.Millisecond, f) }, Log: &log.Logger{Handler: discard.New()},
		Release: func(context.Context, retryledger.Reservation, int) error { return nil },
		Reserve: func(_ context.Context, service string, n int) (retryledger.Reservation, error) {
			if *left == 0 {
				return retryledger.Reservation{}, &retryledger.ExhaustedError{Service: service, Until: time.Now().Add(time.Minute)}
			}
			n = min(n, *left)
			*left -= n
			return retryledger.Reservation{Service: service, ID: "r", Retries: n, Until: time.Now().Add(time.Minute)}, nil
		},
	})
}

func (rz *retryZone) query(_ context.Context, m gossip.Member, _ string, body []byte) ([]byte, error) {
	if rz.down[m.Name] {
		return nil, unansweredError{}
	}
	b, _ := rz.instances[m.Name].answerPeer(body)
	return b, nil
}

func TestInstancesShareTheAccountOfTheirZone(t *testing.T) {
	g := NewWithT(t)
	rz := newRetryZone(4)
	for i, name := range []string{"a", "b", "b", "a", "b"} {
		granted, err := rz.instances[name].withdraw("s", 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(granted).To(Equal(i < 4), "withdrawal %d", i)
	}
}

func TestCreditOfPeerFundsItsRetry(t *testing.T) {
	g := NewWithT(t)
	rz := newRetryZone(0)
	rz.instances["a"].held.SetShare(5, 2)
	granted, err := rz.instances["b"].withdraw("s", 0.9)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(granted).To(BeFalse())
	granted, err = rz.instances["b"].withdraw("s", 0.2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(granted).To(BeTrue())
}

func TestRetryOfUnansweringHolderFails(t *testing.T) {
	g := NewWithT(t)
	rz := newRetryZone(4)
	rz.down["a"] = true
	_, err := rz.instances["b"].withdraw("s", 0)
	g.Expect(err).To(HaveOccurred())
}

func TestOnlyTheHolderGrantsRetriesToPeers(t *testing.T) {
	tests := map[string]struct {
		holder string
		rq     retryRequest
		want   bool
	}{
		"holder":                  {"a", retryRequest{Zone: "z", Service: "s", Credit: 1}, true},
		"another is the holder":   {"b", retryRequest{Zone: "z", Service: "s", Credit: 1}, false},
		"another zone":            {"a", retryRequest{Zone: "y", Service: "s", Credit: 1}, false},
		"build without a service": {"a", retryRequest{Zone: "z"}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rz := newRetryZone(0)
			rz.holder["a"] = tc.holder
			rz.instances["a"].held.SetShare(5, 2)
			body, err := json.Marshal(tc.rq)
			g.Expect(err).NotTo(HaveOccurred())
			b, ok := rz.instances["a"].answerPeer(body)
			g.Expect(ok).To(BeTrue())
			var rp retryReply
			g.Expect(json.Unmarshal(b, &rp)).To(Succeed())
			g.Expect(rp.Granted).To(Equal(tc.want))
		})
	}
}
