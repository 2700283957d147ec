package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targetloss"
	"github.com/silvermount/silvermount/internal/targets"
)

// lossFixture is a gateway with the targets t and u. The target t runs requests and gives no answer until it is released; u answers.
type lossFixture struct {
	*WithT
	*gateway.Gateway
	log *memory.Handler
	// received is sent a value when t receives a request; release lets it answer.
	received chan struct{}
	release  chan struct{}
	runs     atomic.Int64
}

func newLossFixture(t *testing.T, rt routes.Route) *lossFixture {
	t.Helper()
	fx := &lossFixture{WithT: NewWithT(t), log: memory.New(), received: make(chan struct{}, 8), release: make(chan struct{})}
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fx.runs.Add(1)
		fx.received <- struct{}{}
		select {
		case <-fx.release:
			_, _ = io.WriteString(w, "answer") // the recorded response shows a failure
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(silent.Close)
	working := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fx.runs.Add(1)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(working.Close)
	rt.Timeout = 30 * time.Second
	fx.Gateway = newGatewayWithTarget(silent.Listener.Addr().String(), rt)
	fx.Log = &log.Logger{Handler: fx.log}
	fx.Targets.ApplyList([]targets.Target{
		{ID: "t", Service: "s", Address: silent.Listener.Addr().String(), Slots: 100},
		{ID: "u", Service: "s", Address: working.Listener.Addr().String(), Slots: 1},
	}, nil, position.Position{Revision: 2}, time.Now())
	return fx
}

// sendToSilent sends a request that t receives, and returns the recorded response once it is complete.
func (fx *lossFixture) sendToSilent() <-chan *httptest.ResponseRecorder {
	done := make(chan *httptest.ResponseRecorder, 1)
	// The other target is left out until t has the request.
	for range 5 {
		fx.Targets.RecordUnreachable("u")
	}
	go func() { done <- send(fx.Gateway, "1", "") }()
	<-fx.received
	fx.Targets.ForgetUnreachable()
	return done
}

func (fx *lossFixture) lose(kind targetloss.Kind) {
	now := time.Now()
	fx.Attempts.Record(targetloss.Evidence{Target: "t", Kind: kind, Since: now, At: now, Orders: 2})
}

// TestAttemptAtLostTargetMovesOn guards against a request that waits at a lost target until its connection times out.
func TestAttemptAtLostTargetMovesOn(t *testing.T) {
	fx := newLossFixture(t, routes.Route{Repeatable: true, MaxAttempts: 2, Objective: time.Minute})
	done := fx.sendToSilent()
	fx.lose(targetloss.Unanswered)
	rec := <-done
	fx.Expect(rec.Code).To(Equal(http.StatusOK))
	fx.Expect(fx.runs.Load()).To(BeEquivalentTo(2))
	fx.Expect(fieldsOf(fx.log, "attempt ended")).To(And(
		HaveKeyWithValue("evidence", "unanswered_orders"), HaveKeyWithValue("lost_target", "t"), HaveKey("evidence_age"), HaveKey("certain_for")))
	fx.Expect(fx.Metrics.GetOrCreateCounter(`silvermount_attempts_ended_total{evidence="unanswered_orders"}`).Get()).To(BeEquivalentTo(1))
}

// TestAtMostOnceAtLostTarget guards against a request that may run once and is sent twice, or is failed while its answer may still come.
func TestAtMostOnceAtLostTarget(t *testing.T) {
	once := routes.Route{MaxAttempts: 2, Objective: time.Minute}
	t.Run("silent", func(t *testing.T) {
		fx := newLossFixture(t, once)
		done := fx.sendToSilent()
		fx.lose(targetloss.Unanswered)
		close(fx.release)
		fx.Expect((<-done).Code).To(Equal(http.StatusOK))
		fx.Expect(fx.runs.Load()).To(BeEquivalentTo(1))
	})
	t.Run("process has ended", func(t *testing.T) {
		fx := newLossFixture(t, once)
		done := fx.sendToSilent()
		fx.lose(targetloss.Superseded)
		fx.Expect((<-done).Code).To(Equal(http.StatusBadGateway))
		fx.Expect(fx.runs.Load()).To(BeEquivalentTo(1))
		fx.Expect(fieldsOf(fx.log, "request failed")).To(HaveKeyWithValue("outcome", "unknown"))
	})
}

// TestMaxAttemptsIsRespectedAtLostTarget guards against retries beyond the limit of the route.
func TestMaxAttemptsIsRespectedAtLostTarget(t *testing.T) {
	fx := newLossFixture(t, routes.Route{Repeatable: true, MaxAttempts: 1, Objective: time.Minute})
	done := fx.sendToSilent()
	fx.lose(targetloss.Unanswered)
	fx.Consistently(done, 50*time.Millisecond).ShouldNot(Receive(), "the target may still answer, and nothing else can")
	fx.lose(targetloss.Superseded)
	fx.Expect((<-done).Code).To(Equal(http.StatusBadGateway))
	fx.Expect(fx.runs.Load()).To(BeEquivalentTo(1))
}

// TestAnswersAndDialFailuresAreReported guards against evidence that does not reach the attempts in flight, and against a target that is
// taken for lost although it answers requests.
func TestAnswersAndDialFailuresAreReported(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var answered, failed []string
	record := func(list *[]string, id string) {
		mu.Lock()
		defer mu.Unlock()
		*list = append(*list, id)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	unused := ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer sv.Close()
	for _, address := range []string{unused, sv.Listener.Addr().String()} {
		gw := newGatewayWithTarget(address, routes.Route{Repeatable: true, Timeout: time.Second, MaxAttempts: 1})
		gw.Losses.RecordAnswer = func(id string) { record(&answered, address+id) }
		gw.Losses.RecordDialFailure = func(tg targets.Target, _ error) { record(&failed, address+tg.ID) }
		get(gw, "1", "")
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(failed).To(ContainElement(unused + "t"))
	g.Expect(answered).To(ConsistOf(sv.Listener.Addr().String() + "t"))
}
