package session

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/serve"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

const valvePath = "/services/" + localfleet.Service + "/records"

func small(t *testing.T) *localfleet.Fleet {
	t.Helper()
	return start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, Params: fast(200)})
}

// TestKeyRunsAtMostOnce asks twice with one key, at two instances, under each failure.
func TestKeyRunsAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		fault func(*localfleet.Fleet)
		// first and second are the statuses wanted; runs how often the service ran.
		first, second int
		outcome       string
		runs          int
	}{
		"all well": {fault: func(*localfleet.Fleet) {}, first: 200, second: 200, runs: 1},
		"store's answers lost": {
			fault: func(lf *localfleet.Fleet) { lf.Store.LoseResponses(2) }, first: 200, second: 200, runs: 1,
		},
		"service breaks off after the run": {
			fault: func(lf *localfleet.Fleet) { lf.Services.DropAfterRun(1) }, first: 502, second: 409, outcome: "unknown", runs: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := small(t)
			// A first call leaves an idle connection, on which a transport would send a second time.
			call(t, http.MethodPost, lf.URLs()[0]+valvePath, nil, servicesim.HeaderRequestName, "warm")
			tc.fault(lf)
			headers := []string{serve.HeaderKey, "valve-7", servicesim.HeaderRequestName, "valve-7"}
			first := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
			g.Expect(first.status).To(Equal(tc.first), first.body)
			second := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
			g.Expect(second.status).To(Equal(tc.second), second.body)
			g.Expect(second.outcome).To(Equal(tc.outcome))
			if tc.first == http.StatusOK {
				g.Expect(second.body).To(Equal(first.body))
			}
			g.Expect(lf.Services.RunCount("valve-7")).To(Equal(tc.runs))
		})
	}
}

func TestKeyIsRefusedWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	lf.Store.SetDown(true)
	headers := []string{serve.HeaderKey, "valve-8", servicesim.HeaderRequestName, "valve-8", serve.HeaderTimeout, "400ms"}
	rep := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
	g.Expect(rep.outcome).To(Equal("not_run"))
	g.Expect(lf.Services.RunCount("valve-8")).To(BeZero())
	lf.Store.SetDown(false)
	rep = call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
	g.Expect(rep.status).To(Equal(http.StatusOK), rep.body)
	g.Expect(lf.Services.RunCount("valve-8")).To(Equal(1))
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), serve.HeaderKey, "k")
	rep := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("close"), serve.HeaderKey, "k")
	g.Expect(rep.code).To(Equal("key_mismatch"))
	g.Expect(rep.outcome).To(Equal("not_run"))
}

func ticketFrom(t *testing.T, url string) string {
	t.Helper()
	var ans struct{ Ticket string }
	rep := call(t, http.MethodPost, url+"/v1/tickets", nil)
	NewWithT(t).Expect(json.Unmarshal([]byte(rep.body), &ans)).To(Succeed())
	return ans.Ticket
}

func TestTicketRunsAtMostOnceWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	lf.Store.SetDown(true)
	headers := []string{serve.HeaderTicket, ticketFrom(t, lf.URLs()[0]), servicesim.HeaderRequestName, "valve-9"}
	first := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
	g.Expect(first.status).To(Equal(http.StatusOK), first.body)
	second := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
	g.Expect(second.body).To(Equal(first.body))
	g.Expect(lf.Services.RunCount("valve-9")).To(Equal(1))
}

func TestTicketOfAGoneInstanceIsUnknown(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	tk := ticketFrom(t, lf.URLs()[0])
	g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
	rep := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), serve.HeaderTicket, tk, servicesim.HeaderRequestName, "valve-10")
	g.Expect(rep.outcome).To(Equal("unknown"))
	g.Expect(lf.Services.RunCount("valve-10")).To(BeZero())
}

func TestPostIsNotSentTwice(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	call(t, http.MethodPost, lf.URLs()[0]+valvePath, nil, servicesim.HeaderRequestName, "warm")
	lf.Services.DropAfterRun(1)
	rep := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), servicesim.HeaderRequestName, "valve-11")
	g.Expect(rep.outcome).To(Equal("unknown"))
	g.Consistently(func() int { return lf.Services.RunCount("valve-11") }, 200*time.Millisecond).Should(Equal(1))
}

// TestAnswerDoesNotWaitForItsRecord has the store hang after the claim: the caller's answer ends all the same.
func TestAnswerDoesNotWaitForItsRecord(t *testing.T) {
	g := NewWithT(t)
	lf := small(t)
	lf.Services.SetDelay(300 * time.Millisecond)
	time.AfterFunc(150*time.Millisecond, func() { lf.Store.SetDelay(4 * time.Second) })
	done := make(chan reply, 1)
	go func() {
		done <- call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), serve.HeaderKey, "valve-12", servicesim.HeaderRequestName, "valve-12")
	}()
	var rep reply
	// The store's answers take 4 s; the record is tried for 10 s.
	g.Eventually(done, 3*time.Second).Should(Receive(&rep))
	g.Expect(rep.status).To(Equal(http.StatusOK), rep.body)
	lf.Store.SetDelay(0)
}
