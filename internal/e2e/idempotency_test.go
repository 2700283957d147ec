package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

const valvePath = "/services/" + localfleet.Service + "/records"

func startSmallFleet(t *testing.T) *localfleet.Fleet {
	t.Helper()
	return startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, EngineParams: fastEngines(200)})
}

// TestRequestWithKeyRunsAtMostOnce sends a request with the same key to two instances, under each fault.
func TestRequestWithKeyRunsAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		fault func(*localfleet.Fleet)
		// firstStatus and secondStatus are the expected statuses, outcome the expected outcome of the second response.
		firstStatus, secondStatus int
		outcome                   string
		// runs is how often the service is expected to run the request.
		runs int
	}{
		"no fault": {fault: func(*localfleet.Fleet) {}, firstStatus: 200, secondStatus: 200, runs: 1},
		"answers of the store lost": {
			fault: func(lf *localfleet.Fleet) { lf.Store.LoseResponses(2) }, firstStatus: 200, secondStatus: 200, runs: 1,
		},
		"service drops the connection after the run": {
			fault:       func(lf *localfleet.Fleet) { lf.Service.DropAfterRun(1) },
			firstStatus: 502, secondStatus: 409, outcome: "unknown", runs: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startSmallFleet(t)
			// A first call could leave an idle connection, and http.Transport resends requests that fail on one.
			call(t, http.MethodPost, lf.URLs()[0]+valvePath, nil, servicesim.HeaderRequestName, "warm")
			tc.fault(lf)
			headers := []string{callerapi.HeaderIdempotencyKey, "valve-7", servicesim.HeaderRequestName, "valve-7"}
			first := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
			g.Expect(first.status).To(Equal(tc.firstStatus), first.body)
			second := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
			g.Expect(second.status).To(Equal(tc.secondStatus), second.body)
			g.Expect(second.outcome).To(Equal(tc.outcome))
			if tc.firstStatus == http.StatusOK {
				g.Expect(second.body).To(Equal(first.body))
			}
			g.Expect(lf.Service.RunCount("valve-7")).To(Equal(tc.runs))
		})
	}
}

func TestRequestWithKeyIsRefusedWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	lf.Store.SetDown(true)
	headers := []string{callerapi.HeaderIdempotencyKey, "valve-8", servicesim.HeaderRequestName, "valve-8", callerapi.HeaderTimeout, "400ms"}
	resp := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
	g.Expect(resp.outcome).To(Equal("not_run"))
	g.Expect(lf.Service.RunCount("valve-8")).To(BeZero())
	lf.Store.SetDown(false)
	resp = call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
	g.Expect(resp.status).To(Equal(http.StatusOK), resp.body)
	g.Expect(lf.Service.RunCount("valve-8")).To(Equal(1))
}

func TestKeyOfDifferentRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), callerapi.HeaderIdempotencyKey, "k")
	resp := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("close"), callerapi.HeaderIdempotencyKey, "k")
	g.Expect(resp.code).To(Equal("key_mismatch"))
	g.Expect(resp.outcome).To(Equal("not_run"))
}

// issueTicket requests a ticket from an instance.
func issueTicket(t *testing.T, url string) string {
	t.Helper()
	var doc struct{ Ticket string }
	resp := call(t, http.MethodPost, url+"/v1/tickets", nil)
	NewWithT(t).Expect(json.Unmarshal([]byte(resp.body), &doc)).To(Succeed())
	return doc.Ticket
}

func TestRequestWithTicketRunsAtMostOnceWithoutStore(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	lf.Store.SetDown(true)
	headers := []string{callerapi.HeaderTicket, issueTicket(t, lf.URLs()[0]), servicesim.HeaderRequestName, "valve-9"}
	first := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), headers...)
	g.Expect(first.status).To(Equal(http.StatusOK), first.body)
	second := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), headers...)
	g.Expect(second.body).To(Equal(first.body))
	g.Expect(lf.Service.RunCount("valve-9")).To(Equal(1))
}

func TestTicketOfStoppedInstanceHasUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	tk := issueTicket(t, lf.URLs()[0])
	g.Expect(lf.Instances[0].Stop(t.Context())).To(Succeed())
	resp := call(t, http.MethodPost, lf.URLs()[1]+valvePath, []byte("open"), callerapi.HeaderTicket, tk, servicesim.HeaderRequestName, "valve-10")
	g.Expect(resp.outcome).To(Equal("unknown"))
	g.Expect(lf.Service.RunCount("valve-10")).To(BeZero())
}

func TestFailedPostIsNotResent(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	call(t, http.MethodPost, lf.URLs()[0]+valvePath, nil, servicesim.HeaderRequestName, "warm")
	lf.Service.DropAfterRun(1)
	resp := call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), servicesim.HeaderRequestName, "valve-11")
	g.Expect(resp.outcome).To(Equal("unknown"))
	g.Consistently(func() int { return lf.Service.RunCount("valve-11") }, 200*time.Millisecond).Should(Equal(1))
}

// TestResponseDoesNotWaitForSlowStore makes the store slow after the claim. The caller's response must end regardless of the
// write of the result.
func TestResponseDoesNotWaitForSlowStore(t *testing.T) {
	g := NewWithT(t)
	lf := startSmallFleet(t)
	lf.Service.SetDelay(300 * time.Millisecond)
	time.AfterFunc(150*time.Millisecond, func() { lf.Store.SetDelay(4 * time.Second) })
	done := make(chan response, 1)
	go func() {
		done <- call(t, http.MethodPost, lf.URLs()[0]+valvePath, []byte("open"), callerapi.HeaderIdempotencyKey, "valve-12", servicesim.HeaderRequestName, "valve-12")
	}()
	var resp response
	// The store responds after 4 s, and the write of the result is retried for 10 s.
	g.Eventually(done, 3*time.Second).Should(Receive(&resp))
	g.Expect(resp.status).To(Equal(http.StatusOK), resp.body)
	lf.Store.SetDelay(0)
}
