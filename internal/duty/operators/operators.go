// Package operators is the duty that serves the operators' API on its own listener.
package operators

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/bundlestore"
	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/listen"
	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/jsonreply"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/peer"
)

func init() {
	kernel.Register(kernel.Duty{Name: "operators", Phase: kernel.PhaseListen, Check: check, Start: start})
}

const (
	minKeyLength  = 8
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for answers in progress during a stop. Without it, an operator who does not read an answer
	// keeps the instance running until it is killed.
	shutdownTimeout = 2 * time.Second
)

func check(s config.Settings) config.Faults {
	if len(s.Operators.Key) < minKeyLength {
		return config.Faults{{Path: "operators.key", Value: "(hidden)", Want: "at least 8 characters"}}
	}
	return nil
}

// api serves the operators' API.
type api struct {
	env     *kernel.Env
	fleet   *fleet.Fleet
	bundles *bundlestate.Holder
	burn    *errorbudget.Recorder
	metrics *metrics.Set
	mesh    *peer.Mesh
	server  *callerapi.Server
	store   *bundlestore.Store
}

// Status is the answer of an instance to a status request.
type Status struct {
	Instance         string          `json:"instance"`
	Incarnation      string          `json:"incarnation"`
	AvailabilityZone string          `json:"availability_zone"`
	Ready            bool            `json:"ready"`
	Stopping         bool            `json:"stopping"`
	BundleVersion    int64           `json:"bundle_version"`
	BundleBehind     int64           `json:"bundle_behind"`
	InFlight         int64           `json:"in_flight"`
	Targets          []TargetStatus  `json:"targets"`
	Peers            []PeerStatus    `json:"peers"`
	Leaving          []LeavingStatus `json:"leaving"`
}

// TargetStatus describes one target as the instance knows it.
type TargetStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}

// PeerStatus describes one peer as the instance knows it.
type PeerStatus struct {
	Name string `json:"name"`
	Live bool   `json:"live"`
	// SinceHeard is the time since the peer's last heartbeat.
	SinceHeard    config.Duration `json:"heard"`
	BundleVersion int64           `json:"bundle_version"`
}

// LeavingStatus is one incarnation of a target that is leaving.
type LeavingStatus struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	ap := &api{env: env}
	var err error
	if ap.fleet, err = kernel.Resolve[*fleet.Fleet](env); err != nil {
		return nil, err
	}
	if ap.bundles, err = kernel.Resolve[*bundlestate.Holder](env); err != nil {
		return nil, err
	}
	if ap.burn, err = kernel.Resolve[*errorbudget.Recorder](env); err != nil {
		return nil, err
	}
	if ap.metrics, err = kernel.Resolve[*metrics.Set](env); err != nil {
		return nil, err
	}
	if ap.mesh, err = kernel.Resolve[*peer.Mesh](env); err != nil {
		return nil, err
	}
	if ap.server, err = kernel.Resolve[*callerapi.Server](env); err != nil {
		return nil, err
	}
	client, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	ap.store = bundlestore.New(client)
	ls, err := kernel.Resolve[*listen.Listeners](env)
	if err != nil {
		return nil, err
	}
	ap.registerGauges()
	srv := &http.Server{Handler: ap.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: boundedread.MaxHeadBytes}
	go func() {
		if err := srv.Serve(ls.Operators); !errors.Is(err, http.ErrServerClosed) {
			env.Logger("operators").WithError(err).Error("listener failed")
		}
	}()
	return func(ctx context.Context) error { return stop(ctx, srv) }, nil
}

// stop waits up to shutdownTimeout for answers in progress, then closes the remaining connections.
func stop(ctx context.Context, srv *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close()
	}
	return errors.Wrap(err, "shut down operators API")
}

func (ap *api) registerGauges() {
	ap.metrics.NewGauge("silvermount_peer_bytes_out", func() float64 { return float64(ap.mesh.BytesOut.Load()) })
	ap.metrics.NewGauge("silvermount_peer_bytes_in", func() float64 { return float64(ap.mesh.BytesIn.Load()) })
	ap.metrics.NewGauge("silvermount_peer_messages", func() float64 { return float64(ap.mesh.FramesSent.Load()) })
	ap.metrics.NewGauge("silvermount_bundle_version", func() float64 { return float64(ap.bundles.Version()) })
}

func (ap *api) handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(ap.requireKey)
	rt.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { ap.metrics.WritePrometheus(w) })
	rt.Get("/status", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, ap.status()) })
	rt.Get("/burn", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, ap.burn.Windows()) })
	rt.Get("/bundle", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, ap.bundles.Current()) })
	rt.Post("/prepare/{version}", ap.prepare)
	rt.Post("/targets/{target}/leave", func(w http.ResponseWriter, r *http.Request) {
		ap.fleet.MarkLeaving(chi.URLParam(r, "target"))
		w.WriteHeader(http.StatusAccepted)
	})
	return rt
}

// PrepareResult is the answer to a prepare request.
type PrepareResult struct {
	Version int64 `json:"version"`
	// Fault is empty if the instance can put the bundle in force.
	Fault string `json:"fault,omitempty"`
}

// prepare fetches and validates a pushed bundle without putting it in force.
func (ap *api) prepare(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(chi.URLParam(r, "version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	result := PrepareResult{Version: version}
	b, err := ap.store.Get(r.Context(), version)
	if err == nil {
		err = b.CheckDrain(ap.env.Settings.Stop.Drain.Std()).ErrorOrNil()
	}
	if err != nil {
		result.Fault = err.Error()
	}
	jsonreply.Write(w, result)
}

// requireKey rejects requests without the operators' key. The comparison takes constant time.
func (ap *api) requireKey(next http.Handler) http.Handler {
	want := []byte(ap.env.Settings.Operators.Key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), want) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (ap *api) status() Status {
	self := ap.fleet.Self()
	st := Status{
		Instance: self.Name, Incarnation: self.Incarnation, AvailabilityZone: self.AvailabilityZone,
		Ready: ap.server.Ready(), Stopping: ap.server.Stopping(), BundleVersion: ap.bundles.Version(),
		BundleBehind: ap.bundles.PendingVersion(), InFlight: ap.server.InFlight(),
	}
	for _, t := range ap.fleet.Targets() {
		st.Targets = append(st.Targets, TargetStatus{Name: t.Name, Owner: ap.fleet.Owner(t)})
	}
	for _, p := range ap.fleet.Peers() {
		st.Peers = append(st.Peers, PeerStatus{
			Name: p.Name, Live: p.Live, SinceHeard: config.Duration(p.HeartbeatAge.Round(time.Millisecond)), BundleVersion: p.BundleVersion,
		})
	}
	for target, incarnation := range ap.fleet.Leaving() {
		st.Leaving = append(st.Leaving, LeavingStatus{Target: target, Incarnation: incarnation})
	}
	return st
}
