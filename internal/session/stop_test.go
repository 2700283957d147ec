package session

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

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/serve"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

// patience is far longer than any step of a stop that nothing holds up.
const patience = 10 * time.Second

// stopping begins the stop of an instance and returns its end. release lets go of what may hold it up, so that it ends
// before the fleet is closed.
func stopping(t *testing.T, in *instance.Instance, release func()) <-chan error {
	t.Helper()
	ended := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- in.Stop(context.Background())
	}()
	t.Cleanup(func() {
		release()
		<-done
	})
	return ended
}

// stuckOperator returns a connection to the operators' listener that asks and never reads, until the instance cannot write
// any more.
func stuckOperator(t *testing.T, in *instance.Instance) net.Conn {
	t.Helper()
	const unread = time.Second
	g := NewWithT(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(in.OperatorsURL(), "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	ask := []byte("GET /metrics HTTP/1.1\r\nHost: operators\r\nAuthorization: Bearer " + localfleet.OperatorKey + "\r\n\r\n")
	for err == nil {
		g.Expect(conn.SetWriteDeadline(time.Now().Add(unread))).To(Succeed())
		_, err = conn.Write(ask)
	}
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	return conn
}

// TestStopOfTheCallersSideIsNotHeldUp has another part of the instance wait when it is stopped.
//
// Symptom: an instance that was asked to stop goes on taking requests until it is killed, and they get no answer.
// Sequence: a part that was started after the callers' side, or beside it, takes long to stop; the callers' listener
// begins to drain after it, when the time that the stop may take is over.
// Cause: the duties stop one after the other, and those that go first wait for somebody outside without a bound, or as
// long as the callers' side may take itself.
func TestStopOfTheCallersSideIsNotHeldUp(t *testing.T) {
	tests := map[string]func(*testing.T, *localfleet.Fleet) (release func()){
		"by an operator who does not read": func(t *testing.T, lf *localfleet.Fleet) func() {
			conn := stuckOperator(t, lf.Instances[0])
			return func() { conn.Close() }
		},
		"by a job that cannot be given back": func(t *testing.T, lf *localfleet.Fleet) func() {
			en := lf.Engines[0]
			en.SetHung(true)
			rc := submit(t, lf.URLs()[0], "a valve record", serve.HeaderRepeat, "never")
			NewWithT(t).Eventually(stateOf(t, lf.URLs()[0], rc.ID), patience).Should(Equal(job.Running))
			return func() { en.SetHung(false) }
		},
	}
	for name, hold := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200)})
			address := strings.TrimPrefix(lf.URLs()[0], "http://")
			stopping(t, lf.Instances[0], hold(t, lf))
			g.Eventually(func() error {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					conn.Close()
				}
				return err
			}, patience).Should(MatchError(ContainSubstring("refused")))
		})
	}
}

// TestStopEndsBesideAnOperatorWhoDoesNotRead has the last part that waits for somebody outside wait without end.
//
// Symptom: an instance that has served its last caller does not end, and is killed before it takes its entry back.
// Sequence: an operator asks for the metrics and does not read them; the instance is stopped.
// Cause: the stop of the operators' listener waits for the last answer, and nothing bounds that wait.
func TestStopEndsBesideAnOperatorWhoDoesNotRead(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200)})
	conn := stuckOperator(t, lf.Instances[0])
	ended := stopping(t, lf.Instances[0], func() { conn.Close() })
	g.Eventually(ended, patience).Should(Receive(Not(HaveOccurred())))
}

// TestJobGivenUpByAStopIsRecorded stops an instance for longer than it waits for a job that cannot be given back.
//
// Symptom: a job stays in the state of running until another instance finds its instance gone.
// Sequence: the stop gives the job up, and the process ends before the job has recorded it.
// Cause: nothing waits for a job that is given up.
func TestJobGivenUpByAStopIsRecorded(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200), Adjust: func(s *config.Settings) {
		s.Stop.Drain = config.Duration(100 * time.Millisecond)
	}})
	lf.Engines[0].SetHung(true)
	rc := submit(t, lf.URLs()[0], "a valve record", serve.HeaderRepeat, "never")
	g.Eventually(stateOf(t, lf.URLs()[0], rc.ID), patience).Should(Equal(job.Running))
	g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
	o, ok := lf.Store.Object(objectstore.KindJobs, rc.ID)
	g.Expect(ok).To(BeTrue())
	v, err := job.Decode(o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.State.Final()).To(BeTrue(), string(v.State))
}

// TestRecordOfAKeyOutlivesTheStop stops an instance while the store takes no record of its last answer.
//
// Symptom: a caller that asks again with its key after a planned stop is told that the result is not known, though it was
// answered.
// Sequence: the instance answers a request with a key; the record waits for the store; the instance is stopped, and ends
// before the record is written.
// Cause: the record is written behind the answer, and the stop waits for answers only.
func TestRecordOfAKeyOutlivesTheStop(t *testing.T) {
	tests := map[string]struct {
		drops  int
		status int
		want   claim.State
	}{
		"answered":              {status: http.StatusOK, want: claim.Done},
		"the service broke off": {drops: 1, status: http.StatusBadGateway, want: claim.Lost},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var fr *localfleet.Front
			lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200), Adjust: func(s *config.Settings) {
				var err error
				fr, err = localfleet.NewFront(s.Platform.URL)
				g.Expect(err).NotTo(HaveOccurred())
				s.Platform.URL = fr.URL
			}})
			lf.Services.SetDelay(300 * time.Millisecond)
			lf.Services.DropAfterRun(tc.drops)
			go func() {
				// The claim is in the store once the service runs the request.
				for lf.Services.RunCount("valve") == 0 {
					time.Sleep(time.Millisecond)
				}
				fr.SetCut(true)
			}()
			rep := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), serve.HeaderKey, "valve", servicesim.HeaderRequestName, "valve")
			g.Expect(rep.status).To(Equal(tc.status), rep.body)
			time.AfterFunc(2*time.Second, func() { fr.SetCut(false) })
			g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
			g.Expect(claimOf(t, lf, "valve").State).To(Equal(tc.want))
		})
	}
}

// claimOf returns the record of a key at the service.
func claimOf(t *testing.T, lf *localfleet.Fleet, key string) claim.Record {
	t.Helper()
	g := NewWithT(t)
	o, ok := lf.Store.Object(objectstore.KindClaims, claim.ObjectName("tywi", valvePath+"\x00"+key))
	g.Expect(ok).To(BeTrue())
	var rec claim.Record
	g.Expect(json.Unmarshal(o.Value, &rec)).To(Succeed())
	return rec
}

// TestRequestsLeftAtTheEndOfAStopAreAnswered stops an instance whose requests may take longer than the stop waits.
//
// Symptom: callers get neither an answer nor a refusal; their connections end with the process.
// Sequence: a request waits for room, or its target does not answer; the time of the stop is over before the request's own.
// Cause: what a request waits for is bounded by its own deadline only, and nobody tells it that the instance ends.
func TestRequestsLeftAtTheEndOfAStopAreAnswered(t *testing.T) {
	const long = 500_000 // bytes; over the length from which only one prompt is taken by a target at a time
	tests := map[string]struct {
		prompts []string
		waiting int
		// want are statuses, codes and outcomes, in any order.
		want []string
	}{
		"no answer of the target": {prompts: []string{"a deed"}, want: []string{"502 instance_ended failed"}},
		"no room": {
			prompts: []string{strings.Repeat("a", long), strings.Repeat("b", long)}, waiting: 1,
			want: []string{"502 instance_ended failed", "503 stopping not_run"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200), Adjust: func(s *config.Settings) {
				s.Stop.Drain = config.Duration(time.Second)
			}})
			lf.Engines[0].SetHung(true)
			sv, err := kernel.Need[*serve.Server](lf.Instances[0].Env())
			g.Expect(err).NotTo(HaveOccurred())
			answers := make(chan reply, len(tc.prompts))
			for _, prompt := range tc.prompts {
				go func() { answers <- endOf(t.Context(), lf.URLs()[0]+"/v1/completions", completion(prompt, 4, false)) }()
			}
			g.Eventually(func() []int { return []int{int(sv.InFlight()), sv.Router.Waiting()} }, patience).
				Should(Equal([]int{len(tc.prompts), tc.waiting}))
			stopped := lf.Instances[0].Stop(t.Context())
			var got []string
			for range tc.prompts {
				var rep reply
				g.Eventually(answers, patience).Should(Receive(&rep))
				got = append(got, fmt.Sprintf("%d %s %s", rep.status, rep.code, rep.outcome))
			}
			g.Expect(got).To(ConsistOf(tc.want))
			g.Expect(stopped).To(Succeed())
		})
	}
}

// endOf sends a request and returns how it ended; one that gets no answer has no status, and the error as its body.
func endOf(ctx context.Context, url string, body []byte) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{body: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	var eb struct {
		Error struct{ Code, Outcome string }
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(b, &eb) != nil {
		return reply{body: string(b)}
	}
	return reply{status: resp.StatusCode, body: string(b), code: eb.Error.Code, outcome: eb.Error.Outcome}
}
