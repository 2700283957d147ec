package gatewaydeps

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/pathstate"
	"github.com/silvermount/silvermount/internal/pauseclock"
	"github.com/silvermount/silvermount/internal/targetdial"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/tunnelserver"
	"github.com/silvermount/silvermount/internal/upstream"
)

// PeerList lists the peers that may be asked for tunnels, by a function that is set later. It is safe for concurrent use.
type PeerList struct {
	list atomic.Pointer[func() ([]tunnelclient.Peer, uint64)]
}

// Set sets the function that returns the live peers and the version of that list.
func (pl *PeerList) Set(list func() ([]tunnelclient.Peer, uint64)) { pl.list.Store(&list) }

// get returns the live peers and the version of that list. Before Set there are none.
func (pl *PeerList) get() ([]tunnelclient.Peer, uint64) {
	if list := pl.list.Load(); list != nil {
		return (*list)()
	}
	return nil, 0
}

// hasOther reports whether a live instance other than the given one may be asked.
func (pl *PeerList) hasOther(instance string) bool {
	list, _ := pl.get()
	return slices.ContainsFunc(list, func(pr tunnelclient.Peer) bool { return pr.Name != instance && !pr.Stopping })
}

// count returns the number of live peers.
func (pl *PeerList) count() int {
	list, _ := pl.get()
	return len(list)
}

// paths holds what connects an instance to its targets, directly and through peers.
type paths struct {
	state  *pathstate.Tracker
	dialer *targetdial.Dialer
	client *tunnelclient.Client
	server *tunnelserver.Server
	peers  *PeerList
}

// newPaths returns the paths of an instance. onChange is called after each change of what the instance reaches.
func newPaths(env *kernel.Env, ms *metrics.Set, pauses *pauseclock.Clock, dr *targets.Directory, onChange func()) *paths {
	st, lg := env.Settings.Gateway, env.Logger("paths")
	direct := upstream.Dialer{Timeout: st.DialTimeout.Std(), Connect: upstream.Connect, Now: time.Now, Paused: pauses.Paused}
	if connect, err := kernel.Resolve[upstream.ConnectFunc](env); err == nil {
		direct.Connect = connect
	}
	pt := &paths{peers: &PeerList{}}
	pt.state = pathstate.New(time.Now, pathstate.WithOnChange(func(ch pathstate.Change) {
		logPathChange(lg, ch)
		if ch.AllLost {
			dr.ForgetUnreachable()
		}
		onChange()
	}))
	pt.client = tunnelclient.New(tunnelclient.Deps{
		Instance: env.Settings.Instance, AvailabilityZone: env.Settings.AvailabilityZone, Peers: pt.peers.get, DialTimeout: st.DialTimeout.Std(),
		Liveness: upstream.Liveness, Metrics: ms, Now: time.Now,
	})
	pt.dialer = targetdial.New(targetdial.Deps{
		Direct: direct.Dial, ThroughPeer: pt.client.Dial, IsPeerUsable: pt.client.IsUsable, Paths: pt.state, IsTarget: dr.HasAddress,
		Addresses: dr.Addresses, Now: time.Now,
	})
	pt.server = tunnelserver.New(tunnelserver.Deps{
		Dial: pt.dialer.DialForPeer, IsTarget: dr.HasAddress, CutOff: pt.state.AllLost, HasNoPath: pt.state.IsLost, LastSign: pt.state.LastSign, Liveness: upstream.Liveness,
		Metrics: ms, Log: env.Logger("tunnels"), Now: time.Now,
	})
	ms.NewGauge("silvermount_targets_path_lost", func() float64 { return float64(pt.state.LostCount()) })
	ms.NewGauge("silvermount_all_paths_lost", func() float64 { return boolValue(pt.state.AllLost()) })
	ms.NewGauge("silvermount_isolated", func() float64 { return boolValue(pt.state.Isolated()) })
	ms.NewGauge("silvermount_tunnels_used", func() float64 { return float64(pt.client.OpenCount()) })
	return pt
}

// dialNetwork is Dial with the signature of net.Dialer.DialContext.
func (pt *paths) dialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return pt.dialer.Dial(ctx, address)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// logPathChange logs that this instance no longer reaches any target itself, or does again.
func logPathChange(lg log.Interface, ch pathstate.Change) {
	fs := log.Fields{"lost_targets": ch.LostTargets, "isolated": ch.Isolated, "connected_age": ageOf(ch.ConnectedAt)}
	if ev := ch.Evidence; ev.Peer != "" {
		fs["target_address"], fs["reached_by"], fs["reached_age"] = ev.Address, ev.Peer, ageOf(ev.ReachedAt)
	}
	switch {
	case ch.Isolated:
		lg.WithFields(fs).Warn("no target reached, by this instance or its peers; refusing requests")
	case ch.AllLost:
		lg.WithFields(fs).Warn("no target reached by this instance, but by peers; connecting through them")
	case !ch.Since.IsZero():
		fs["for"] = ageOf(ch.Since)
		lg.WithFields(fs).Info("targets reached again by this instance")
	default:
		lg.WithFields(fs).Info("targets reached again")
	}
}

// ageOf returns the time since an instant for a log message.
func ageOf(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return time.Since(at).Round(time.Millisecond).String()
}
