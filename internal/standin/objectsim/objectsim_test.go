package objectsim_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/objectsim"
)

const (
	// testTimeout bounds the waits for conditions that normally hold within milliseconds.
	testTimeout = 10 * time.Second
	// silenceWait is long enough for a call on loopback to arrive. Tests wait this long only where they expect no response.
	silenceWait = 100 * time.Millisecond
)

func start(t *testing.T, opts ...objectsim.Option) *objectsim.Sim {
	t.Helper()
	sm, err := objectsim.Start(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sm.Close)
	return sm
}

type result struct {
	status int
	body   string
	err    error
}

func call(ctx context.Context, method, url, body string) result {
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		return result{err: err}
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(rs.Body)
	return result{status: rs.StatusCode, body: string(raw), err: err}
}

func decode[T any](t *testing.T, rs result) T {
	t.Helper()
	var v T
	if rs.err != nil {
		t.Fatal(rs.err)
	}
	if err := json.Unmarshal([]byte(rs.body), &v); err != nil {
		t.Fatal(err, rs.body)
	}
	return v
}

type list struct {
	Entries []objectsim.Object `json:"entries"`
	More    bool               `json:"more"`
	At      int64              `json:"at"`
}

type changes struct {
	Events []objectsim.Event `json:"events"`
	At     int64             `json:"at"`
}

func TestListContinuesOnTheNextPage(t *testing.T) {
	g := NewWithT(t)
	sm := start(t, objectsim.WithPageSize(2))
	for _, name := range []string{"c", "a", "b"} {
		_, err := sm.PutSpec("servers", name, map[string]int{"slots": 1})
		g.Expect(err).NotTo(HaveOccurred())
	}
	first := decode[list](t, call(t.Context(), "GET", sm.URL()+"/objects/servers", ""))
	g.Expect(first.Entries).To(HaveLen(2))
	g.Expect(first.More).To(BeTrue())
	g.Expect(first.At).To(Equal(sm.Revision()))
	rest := decode[list](t, call(t.Context(), "GET", sm.URL()+"/objects/servers?after_revision=b", ""))
	g.Expect(rest.Entries).To(HaveLen(1))
	g.Expect(rest.Entries[0].Metadata.Name).To(Equal("c"))
	g.Expect(rest.More).To(BeFalse())
	g.Expect(sm.CallCounts()).To(HaveKeyWithValue(objectsim.CallKey{Kind: "servers", Type: objectsim.List}, 2))
}

func TestWritesCheckTheirConditions(t *testing.T) {
	g := NewWithT(t)
	sm := start(t)
	url := sm.URL() + "/objects/my-locks"
	made := decode[objectsim.Object](t, call(t.Context(), "POST", url, `{"metadata":{"name":"leader"},"spec":{"by":"a"}}`))
	g.Expect(made.Metadata.Revision).To(Equal(int64(1)))
	g.Expect(call(t.Context(), "POST", url, `{"metadata":{"name":"leader"},"spec":1}`).status).To(Equal(409))

	put := decode[objectsim.Object](t, call(t.Context(), "PUT", url+"/leader", `{"metadata":{"revision":1},"spec":{"by":"b"}}`))
	g.Expect(put.Metadata.Revision).To(Equal(int64(2)))
	lost := call(t.Context(), "PUT", url+"/leader", `{"metadata":{"revision":1},"spec":{"by":"c"}}`)
	g.Expect(lost.status).To(Equal(409))
	g.Expect(string(decode[objectsim.Object](t, lost).Spec)).To(Equal(`{"by":"b"}`))
	same := decode[objectsim.Object](t, call(t.Context(), "PUT", url+"/leader", `{"spec":{ "by": "b" }}`))
	g.Expect(same.Metadata.Revision).To(Equal(int64(2)), "a write without a change keeps the revision")

	st := decode[objectsim.Object](t, call(t.Context(), "PUT", url+"/leader/status", `{"metadata":{"revision":2},"status":7}`))
	g.Expect(string(st.Status)).To(Equal("7"))
	g.Expect(string(st.Spec)).To(Equal(`{"by":"b"}`))
	g.Expect(call(t.Context(), "DELETE", url+"/leader?revision=2", "").status).To(Equal(409))
	g.Expect(call(t.Context(), "DELETE", url+"/leader?revision=3", "").status).To(Equal(200))
	g.Expect(call(t.Context(), "GET", url+"/leader", "").status).To(Equal(404))
	g.Expect(call(t.Context(), "PUT", url+"/leader", `{"spec":1}`).status).To(Equal(404))
	g.Expect(call(t.Context(), "PATCH", url+"/leader", "").status).To(Equal(400))
}

func TestFinalizersDelayRemoval(t *testing.T) {
	g := NewWithT(t)
	sm := start(t)
	for _, kind := range []string{"my-jobs", "servers"} {
		at := sm.URL() + "/objects/" + kind
		call(t.Context(), "POST", at, `{"metadata":{"name":"x","finalizers":["f"]},"spec":1}`)
		g.Expect(call(t.Context(), "DELETE", at+"/x", "").status).To(Equal(200))
	}
	ob, exists := sm.Get("my-jobs", "x")
	g.Expect(exists).To(BeTrue())
	g.Expect(ob.Metadata.Deleting).To(BeTrue())
	_, exists = sm.Get("servers", "x")
	g.Expect(exists).To(BeFalse())
	call(t.Context(), "PUT", sm.URL()+"/objects/my-jobs/x", `{"metadata":{"finalizers":[]},"spec":1}`)
	_, exists = sm.Get("my-jobs", "x")
	g.Expect(exists).To(BeFalse())
}

func TestWatchReportsChangesUntilDisconnectedOrCompacted(t *testing.T) {
	g := NewWithT(t)
	sm := start(t)
	from, err := sm.PutSpec("config", "main", 1)
	g.Expect(err).NotTo(HaveOccurred())
	url := func(at int64, wait string) string {
		return sm.URL() + "/objects/config?watch=" + strconv.FormatInt(at, 10) + "&wait_ms=" + wait
	}
	none := decode[changes](t, call(t.Context(), "GET", url(from, "1"), ""))
	g.Expect(none.Events).To(BeEmpty())

	got := make(chan result, 1)
	go func() { got <- call(t.Context(), "GET", url(from, "30000"), "") }()
	g.Eventually(sm.WatchCount).WithTimeout(testTimeout).Should(Equal(1))
	_, err = sm.PutSpec("servers", "i-1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sm.Remove("config", "main")).To(BeTrue())
	var rs result
	g.Eventually(got).WithTimeout(testTimeout).Should(Receive(&rs))
	ch := decode[changes](t, rs)
	g.Expect(ch.Events).To(HaveLen(1), "a watch reports only its own kind")
	g.Expect(ch.Events[0].Deleted).To(BeTrue())
	g.Expect(ch.At).To(Equal(sm.Revision()))

	go func() { got <- call(t.Context(), "GET", url(ch.At, "30000"), "") }()
	g.Eventually(sm.WatchCount).WithTimeout(testTimeout).Should(Equal(1))
	sm.DisconnectWatches()
	g.Eventually(got).WithTimeout(testTimeout).Should(Receive(&rs))
	g.Expect(rs.err).To(HaveOccurred())

	sm.CompactHistory()
	g.Expect(call(t.Context(), "GET", url(from, "1"), "").status).To(Equal(410))
	g.Expect(call(t.Context(), "GET", url(sm.Revision(), "1"), "").status).To(Equal(200))
}

func TestOutageFailsCallsWithoutExecutingThem(t *testing.T) {
	cases := map[string]struct {
		mode   objectsim.Outage
		status int
	}{
		"busy":   {mode: objectsim.Unavailable, status: 503},
		"many":   {mode: objectsim.TooManyRequests, status: 429},
		"reset":  {mode: objectsim.ResetConnections},
		"silent": {mode: objectsim.Silent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sm := start(t)
			other, err := sm.OpenEndpoint()
			g.Expect(err).NotTo(HaveOccurred())
			defer other.Close()
			sm.SetOutage(tc.mode)
			timeout := testTimeout
			if tc.mode == objectsim.Silent {
				timeout = silenceWait
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			rs := call(ctx, "POST", sm.URL()+"/objects/my-jobs/x", `{"spec":1}`)
			g.Expect(rs.status).To(Equal(tc.status))
			g.Expect(rs.err != nil).To(Equal(tc.status == 0))
			g.Expect(call(t.Context(), "GET", other.URL()+"/objects/my-jobs/x", "").status).To(Equal(404), "the failed call must not be executed")
			sm.SetOutage(objectsim.NoOutage)
			g.Expect(call(t.Context(), "POST", sm.URL()+"/objects/my-jobs/x", `{"spec":1}`).status).To(Equal(200))
			g.Expect(sm.CallCounts()).To(HaveKeyWithValue(objectsim.CallKey{Kind: "my-jobs", Type: objectsim.Create}, 2))
		})
	}
}

func TestLostResponsesAndDelayedWrites(t *testing.T) {
	g := NewWithT(t)
	sm := start(t)
	at := sm.URL() + "/objects/my-jobs/"
	sm.LoseResponses(1)
	g.Expect(call(t.Context(), "POST", at+"lost", `{"spec":1}`).err).To(HaveOccurred())
	_, exists := sm.Get("my-jobs", "lost")
	g.Expect(exists).To(BeTrue())
	sm.DelayWrites(1, time.Millisecond)
	g.Expect(call(t.Context(), "POST", at+"late", `{"spec":1}`).err).To(HaveOccurred())
	g.Eventually(func() bool { _, exists := sm.Get("my-jobs", "late"); return exists }).WithTimeout(testTimeout).Should(BeTrue())
	sm.SetDelay(time.Millisecond)
	g.Expect(call(t.Context(), "GET", at+"late", "").status).To(Equal(200))
}

func TestStaleReadsReturnTheFrozenState(t *testing.T) {
	g := NewWithT(t)
	sm := start(t)
	sm.FreezeStaleReads(true)
	_, err := sm.PutSpec("servers", "i-1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decode[list](t, call(t.Context(), "GET", sm.URL()+"/objects/servers?stale=1", "")).Entries).To(BeEmpty())
	g.Expect(decode[list](t, call(t.Context(), "GET", sm.URL()+"/objects/servers", "")).Entries).To(HaveLen(1))
	sm.FreezeStaleReads(false)
	g.Expect(decode[list](t, call(t.Context(), "GET", sm.URL()+"/objects/servers?stale=1", "")).Entries).To(HaveLen(1))
}
