package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

// stepTimeout is far longer than any step of a shutdown that nothing blocks.
const stepTimeout = 10 * time.Second

// stopInBackground starts the shutdown of an instance and returns a channel that gets its result. unblock removes what may
// block the shutdown, so that it ends before the fleet is closed.
func stopInBackground(t *testing.T, in *instance.Instance, unblock func()) <-chan error {
	t.Helper()
	stopped := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		stopped <- in.Stop(context.Background())
	}()
	t.Cleanup(func() {
		unblock()
		<-done
	})
	return stopped
}

// dialBlockedOperator returns a connection to the operators' listener on which it sends requests without
// reading responses until the instance is blocked in writing them.
func dialBlockedOperator(t *testing.T, in *instance.Instance) net.Conn {
	t.Helper()
	const writeTimeout = time.Second
	g := NewWithT(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(in.OperatorsURL(), "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	request := []byte("GET /metrics HTTP/1.1\r\nHost: operators\r\nAuthorization: Bearer " + localfleet.OperatorKey + "\r\n\r\n")
	for err == nil {
		g.Expect(conn.SetWriteDeadline(time.Now().Add(writeTimeout))).To(Succeed())
		_, err = conn.Write(request)
	}
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	return conn
}

// TestCallersListenerClosesDespiteBlockedDuty stops an instance while another duty blocks its own stop.
//
// It guards against an instance that accepts requests after its stop was requested until it is killed, so that these requests
// get no response. That happens if the duties stop one after the other, and one that stops before the callers' listener waits
// for an external party without a bound, or for as long as the callers' listener may take itself. The listener then begins to
// drain only when the time for the stop is over.
func TestCallersListenerClosesDespiteBlockedDuty(t *testing.T) {
	tests := map[string]func(*testing.T, *localfleet.Fleet) (unblock func()){
		"operator does not read": func(t *testing.T, lf *localfleet.Fleet) func() {
			conn := dialBlockedOperator(t, lf.Instances[0])
			return func() { conn.Close() }
		},
		"job cannot be returned to the store": func(t *testing.T, lf *localfleet.Fleet) func() {
			en := lf.Engines[0]
			en.SetHung(true)
			rc := submit(t, lf.URLs()[0], "a valve record", callerapi.HeaderRepeat, "never")
			NewWithT(t).Eventually(jobState(t, lf.URLs()[0], rc.ID), stepTimeout).Should(Equal(job.Running))
			return func() { en.SetHung(false) }
		},
	}
	for name, block := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200)})
			address := strings.TrimPrefix(lf.URLs()[0], "http://")
			stopInBackground(t, lf.Instances[0], block(t, lf))
			g.Eventually(func() error {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					conn.Close()
				}
				return err
			}, stepTimeout).Should(MatchError(ContainSubstring("refused")))
		})
	}
}

// TestStopCompletesDespiteOperatorNotReading stops an instance while an operator has requested the metrics and does not read
// them.
//
// It guards against an instance that has served its last caller, does not end, and is killed before it removes its entry from
// the store. That happens if the stop of the operators' listener waits for the last response without a bound.
func TestStopCompletesDespiteOperatorNotReading(t *testing.T) {
	g := NewWithT(t)
	lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200)})
	conn := dialBlockedOperator(t, lf.Instances[0])
	stopped := stopInBackground(t, lf.Instances[0], func() { conn.Close() })
	g.Eventually(stopped, stepTimeout).Should(Receive(Not(HaveOccurred())))
}

// TestJobAbortedByStopIsRecorded stops an instance that runs a job which cannot be returned to the store. The job takes longer
// than the drain time.
//
// It guards against a job that stays in state running until another instance finds its instance gone. That happens if the stop
// aborts the job and does not wait until the job has recorded its end.
func TestJobAbortedByStopIsRecorded(t *testing.T) {
	g := NewWithT(t)
	lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200), AdjustSettings: func(s *config.Settings) {
		s.Stop.Drain = config.Duration(100 * time.Millisecond)
	}})
	lf.Engines[0].SetHung(true)
	rc := submit(t, lf.URLs()[0], "a valve record", callerapi.HeaderRepeat, "never")
	g.Eventually(jobState(t, lf.URLs()[0], rc.ID), stepTimeout).Should(Equal(job.Running))
	g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
	o, ok := lf.Store.Object(objectstore.KindJobs, rc.ID)
	g.Expect(ok).To(BeTrue())
	v, err := job.Decode(o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.State.Final()).To(BeTrue(), string(v.State))
}

// TestStopWaitsForClaimResult stops an instance while the store does not accept the result of its last request with a key.
//
// It guards against a caller that repeats an answered request with its key after a planned stop, and is told that the outcome
// is unknown. That happens because the result is written after the response: a stop that waits for responses only ends the
// process before the write.
func TestStopWaitsForClaimResult(t *testing.T) {
	tests := map[string]struct {
		dropsAfterRun int
		status        int
		want          claim.State
	}{
		"answered":                     {status: http.StatusOK, want: claim.Done},
		"service drops the connection": {dropsAfterRun: 1, status: http.StatusBadGateway, want: claim.Lost},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var storeFront *localfleet.StoreProxy
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200), AdjustSettings: func(s *config.Settings) {
				var err error
				storeFront, err = localfleet.NewStoreProxy(s.Platform.URL)
				g.Expect(err).NotTo(HaveOccurred())
				s.Platform.URL = storeFront.URL
			}})
			lf.Service.SetDelay(300 * time.Millisecond)
			lf.Service.DropAfterRun(tc.dropsAfterRun)
			go func() {
				// Once the service runs the request, its claim is in the store.
				for lf.Service.RunCount("valve") == 0 {
					time.Sleep(time.Millisecond)
				}
				storeFront.SetBlocked(true)
			}()
			resp := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), callerapi.HeaderIdempotencyKey, "valve", servicesim.HeaderRequestName, "valve")
			g.Expect(resp.status).To(Equal(tc.status), resp.body)
			time.AfterFunc(2*time.Second, func() { storeFront.SetBlocked(false) })
			g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
			g.Expect(readClaim(t, lf, "valve").State).To(Equal(tc.want))
		})
	}
}

// readClaim returns the stored claim of a key that was used at the service.
func readClaim(t *testing.T, lf *localfleet.Fleet, key string) claim.Record {
	t.Helper()
	g := NewWithT(t)
	o, ok := lf.Store.Object(objectstore.KindClaims, claim.ObjectName("tywi", valvePath+"\x00"+key))
	g.Expect(ok).To(BeTrue())
	var rec claim.Record
	g.Expect(json.Unmarshal(o.Value, &rec)).To(Succeed())
	return rec
}

// TestRequestsInFlightAtEndOfStopAreAnswered stops an instance whose requests may take longer than the drain time.
//
// It guards against callers that get neither a response nor a refusal, because their connections end with the process. That
// happens if a request waits for capacity, or for a target that does not respond, and only its own deadline bounds that wait:
// the time for the stop is over first, and nothing tells the request about it.
func TestRequestsInFlightAtEndOfStopAreAnswered(t *testing.T) {
	const longBytes = 500_000 // above the length from which a target accepts only one prompt at a time
	tests := map[string]struct {
		prompts []string
		waiting int
		// want holds the status, code and outcome of each response, in any order.
		want []string
	}{
		"target does not respond": {prompts: []string{"a deed"}, want: []string{"502 instance_ended failed"}},
		"second long prompt waits for capacity": {
			prompts: []string{strings.Repeat("a", longBytes), strings.Repeat("b", longBytes)}, waiting: 1,
			want: []string{"502 instance_ended failed", "503 stopping not_run"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200), AdjustSettings: func(s *config.Settings) {
				s.Stop.Drain = config.Duration(time.Second)
			}})
			lf.Engines[0].SetHung(true)
			sv, err := kernel.Resolve[*callerapi.Server](lf.Instances[0].Env())
			g.Expect(err).NotTo(HaveOccurred())
			responses := make(chan response, len(tc.prompts))
			for _, prompt := range tc.prompts {
				go func() {
					responses <- tryCall(t.Context(), lf.URLs()[0]+"/v1/completions", completion(prompt, 4, false))
				}()
			}
			g.Eventually(func() []int { return []int{int(sv.InFlight()), sv.Router.QueueLength()} }, stepTimeout).
				Should(Equal([]int{len(tc.prompts), tc.waiting}))
			stopErr := lf.Instances[0].Stop(t.Context())
			var got []string
			for range tc.prompts {
				var resp response
				g.Eventually(responses, stepTimeout).Should(Receive(&resp))
				got = append(got, fmt.Sprintf("%d %s %s", resp.status, resp.code, resp.outcome))
			}
			g.Expect(got).To(ConsistOf(tc.want))
			g.Expect(stopErr).To(Succeed())
		})
	}
}

// tryCall sends a request and returns its response. Without a response, the status is zero and the body is the error.
func tryCall(ctx context.Context, url string, body []byte) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response{body: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer resp.Body.Close()
	var eb struct {
		Error struct{ Code, Outcome string }
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(b, &eb) != nil {
		return response{body: string(b)}
	}
	return response{status: resp.StatusCode, body: string(b), code: eb.Error.Code, outcome: eb.Error.Outcome}
}
