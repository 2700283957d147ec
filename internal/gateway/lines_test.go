package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/eventlog"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
)

// bodyMemory is room for a few small bodies.
const bodyMemory = 1000

// newGateway returns a gateway whose callers give request and key in headers.
func newGateway(hd *routes.Holder, h log.Handler) *gateway.Gateway {
	read := func(r *http.Request) (gateway.Facts, error) {
		return gateway.Facts{RequestID: r.Header.Get("Request"), Key: r.Header.Get("Key")}, nil
	}
	return gateway.New(gateway.Deps{
		Protocol: gateway.Protocol{Read: read},
		Routes:   hd, Bodies: budget.NewMemory(bodyMemory), Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: h}, Now: time.Now, Stopping: func() bool { return false },
	}, gateway.Limits{})
}

func get(gw *gateway.Gateway, request, key string) int { return ask(gw, request, key).Code }

func ask(gw *gateway.Gateway, request, key string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/a/", http.NoBody)
	r.Header.Set("Request", request)
	r.Header.Set("Key", key)
	gw.ServeHTTP(rec, r)
	return rec
}

func keys(version int64, keys ...string) *routes.Table {
	ct := routes.Config{Version: version, Keys: map[string]routes.Organisation{}}
	ct.Routes = []routes.Route{{Name: "r", Host: "example.com", PathPrefix: "/", Services: []routes.WeightedService{{Service: "s", Weight: 1}}}}
	for _, key := range keys {
		ct.Keys[key] = routes.Organisation{Name: "o"}
	}
	return routes.New(ct)
}

// TestUnknownKeyIsToldWithoutTheKey checks the line of a request whose key is not in force.
func TestUnknownKeyIsToldWithoutTheKey(t *testing.T) {
	tests := map[string]struct {
		key  string
		want log.Fields
	}{
		"no key":    {"", log.Fields{"key": "none"}},
		"never was": {"never", log.Fields{"key": routes.DigestOf("never").String(), "key_known": false}},
		"was taken": {"taken", log.Fields{"key": routes.DigestOf("taken").String(), "key_known": true, "key_gone": int64(5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd, mh := &routes.Holder{}, memory.New()
			hd.ApplyIfNewer(keys(4, "taken", "kept"), nil, time.Now())
			hd.ApplyIfNewer(keys(5, "kept"), nil, time.Now())
			g.Expect(get(newGateway(hd, mh), "1", tc.key)).To(Equal(http.StatusUnauthorized))
			g.Expect(mh.Entries).To(HaveLen(1))
			for name, value := range tc.want {
				g.Expect(mh.Entries[0].Fields).To(HaveKeyWithValue(name, value))
			}
			g.Expect(mh.Entries[0].Fields).To(HaveKeyWithValue("config", int64(5)))
			g.Expect(mh.Entries[0].Fields).To(HaveKey("proof_age"))
			for name, value := range mh.Entries[0].Fields {
				g.Expect(value).NotTo(Equal("taken"), name)
			}
		})
	}
}

// stuck is a standard output that takes nothing until it is let go.
type stuck struct{ released chan struct{} }

// Write waits.
func (st stuck) Write(b []byte) (int, error) {
	<-st.released
	return len(b), nil
}

// TestStuckOutputHoldsNoRequestUp sends far more requests than lines may wait while nothing is written.
func TestStuckOutputHoldsNoRequestUp(t *testing.T) {
	g := NewWithT(t)
	const callers, each = 8, 2000
	out := stuck{released: make(chan struct{})}
	sk := eventlog.New(out, eventlog.WithCapacity(16), eventlog.WithUrgentLimit(callers*each))
	gw := newGateway(&routes.Holder{}, sk)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				if get(gw, "1", "") != http.StatusServiceUnavailable {
					t.Error("not answered")
				}
			}
		})
	}
	wg.Wait()
	close(out.released)
	g.Expect(sk.Close(t.Context())).To(Succeed())
}

func TestShedErrorNamesTheHelper(t *testing.T) {
	tests := map[string]struct {
		err  gateway.ShedError
		want string
	}{
		"no helper": {gateway.ShedError{Status: 503}, "the target turned the request away with status 503"},
		"a helper": {
			gateway.ShedError{Status: 503, AtFault: "10.0.0.1:80"},
			"the target turned the request away with status 503 for its helper 10.0.0.1:80",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.err.Error()).To(Equal(tc.want))
		})
	}
}

// TestProofIsToldOnceWhenItTurnsOld sends two requests with a proof that is too old.
func TestProofIsToldOnceWhenItTurnsOld(t *testing.T) {
	g := NewWithT(t)
	hd, mh := &routes.Holder{}, memory.New()
	at := time.Unix(1000, 0)
	hd.ApplyIfNewer(keys(4, "kept"), nil, at)
	gw := newGateway(hd, mh)
	gw.Now = func() time.Time { return at }
	gw.SetLimits(gateway.Limits{ProofAge: time.Second})
	at = at.Add(2 * time.Second)
	g.Expect(get(gw, "1", "kept")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(get(gw, "2", "kept")).To(Equal(http.StatusServiceUnavailable))
	var told []string
	for _, e := range mh.Entries {
		if e.Fields["request"] == nil {
			told = append(told, e.Message)
		}
	}
	g.Expect(told).To(Equal([]string{"proof of the configuration too old, keys are refused"}))
}
