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
	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// bodyMemory is enough for a few small bodies.
const bodyMemory = 1000

// newGateway returns a gateway whose callers send the request id and the key in the headers Request and Key.
func newGateway(hd *routes.Holder, h log.Handler) *gateway.Gateway {
	read := func(r *http.Request) (gateway.RequestInfo, error) {
		return gateway.RequestInfo{RequestID: r.Header.Get("Request"), Key: r.Header.Get("Key")}, nil
	}
	return gateway.New(gateway.Deps{
		Protocol: gateway.Protocol{ReadRequest: read},
		Routes:   hd, Targets: targets.New(time.Now), BodyMemory: budget.NewMemory(bodyMemory), Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: h}, Now: time.Now,
		Paused: func() time.Duration { return 0 }, Paths: workingPaths(), PeersHeardAge: func() (time.Duration, bool) { return 0, false },
		Attempts: inflightattempts.New(time.Now), Losses: noLosses(), Stopping: func() bool { return false },
	}, gateway.Limits{})
}

// noLosses ignores evidence about targets.
func noLosses() gateway.Losses {
	return gateway.Losses{
		RecordDialFailure: func(targets.Target, error) {}, RecordAddressTaken: func(string) {}, RecordAnswer: func(string) {},
	}
}

func get(gw *gateway.Gateway, request, key string) int { return send(gw, request, key).Code }

func send(gw *gateway.Gateway, request, key string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/a/", http.NoBody)
	r.Header.Set("Request", request)
	r.Header.Set("Key", key)
	gw.ServeHTTP(rec, r)
	return rec
}

// configWithoutKeys returns a configuration with one route and no keys.
func configWithoutKeys(version int64) routes.Config {
	return routes.Config{Version: version, Routes: []routes.Route{
		{Name: "r", Host: "example.com", PathPrefix: "/", Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
	}}
}

func tableWithKeys(version int64, keys ...string) *routes.Table {
	ct := configWithoutKeys(version)
	ct.Keys = map[string]routes.Organisation{}
	for _, key := range keys {
		ct.Keys[key] = routes.Organisation{Name: "o"}
	}
	return routes.New(ct)
}

// TestUnknownKeyIsLoggedAsDigest checks that the log message of a request whose key is not in force does not contain the key.
func TestUnknownKeyIsLoggedAsDigest(t *testing.T) {
	tests := map[string]struct {
		key  string
		want log.Fields
	}{
		"no key":         {"", log.Fields{"key": "none"}},
		"never in force": {"never", log.Fields{"key": routes.DigestOf("never").String(), "key_known": false}},
		"revoked key":    {"taken", log.Fields{"key": routes.DigestOf("taken").String(), "key_known": true, "key_gone": int64(5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd, mh := &routes.Holder{}, memory.New()
			hd.ApplyIfNewer(tableWithKeys(4, "taken", "kept"), nil, time.Now())
			hd.ApplyIfNewer(tableWithKeys(5, "kept"), nil, time.Now())
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

// blockedOutput is a standard output that blocks all writes until it is unblocked.
type blockedOutput struct{ unblocked chan struct{} }

// Write blocks until unblocked is closed.
func (bo blockedOutput) Write(b []byte) (int, error) {
	<-bo.unblocked
	return len(b), nil
}

// TestBlockedLogOutputDelaysNoRequest sends far more requests than the log can buffer while its output is blocked.
func TestBlockedLogOutputDelaysNoRequest(t *testing.T) {
	g := NewWithT(t)
	const callers, requestsPerCaller = 8, 2000
	out := blockedOutput{unblocked: make(chan struct{})}
	sk := eventlog.New(out, eventlog.WithCapacity(16), eventlog.WithUrgentLimit(callers*requestsPerCaller))
	gw := newGateway(&routes.Holder{}, sk)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requestsPerCaller {
				if get(gw, "1", "") != http.StatusServiceUnavailable {
					t.Error("unexpected status")
				}
			}
		})
	}
	wg.Wait()
	close(out.unblocked)
	g.Expect(sk.Close(t.Context())).To(Succeed())
}

func TestShedErrorNamesHelper(t *testing.T) {
	tests := map[string]struct {
		err  gateway.ShedError
		want string
	}{
		"no helper": {gateway.ShedError{Status: 503}, "target rejected the request with status 503"},
		"a helper": {
			gateway.ShedError{Status: 503, CauseAddress: "10.0.0.1:80"},
			"target rejected the request with status 503 because of helper 10.0.0.1:80",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.err.Error()).To(Equal(tc.want))
		})
	}
}

// TestStalenessIsLoggedOnce sends two requests while the configuration is stale.
func TestStalenessIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	hd, mh := &routes.Holder{}, memory.New()
	at := time.Unix(1000, 0)
	hd.ApplyIfNewer(tableWithKeys(4, "kept"), nil, at)
	gw := newGateway(hd, mh)
	gw.Now = func() time.Time { return at }
	gw.SetLimits(gateway.Limits{MaxConfigStaleness: time.Second})
	at = at.Add(2 * time.Second)
	g.Expect(get(gw, "1", "kept")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(get(gw, "2", "kept")).To(Equal(http.StatusServiceUnavailable))
	var messages []string
	for _, e := range mh.Entries {
		if e.Fields["request"] == nil {
			messages = append(messages, e.Message)
		}
	}
	g.Expect(messages).To(Equal([]string{"configuration not confirmed for too long; refusing requests with keys"}))
}

// workingPaths are the paths of an instance that reaches all targets.
func workingPaths() gateway.Paths {
	return gateway.Paths{
		IsLost: func(string) bool { return false }, Isolated: func() bool { return false }, Check: func(string) {}, AvoidPeer: func(string) {},
	}
}
