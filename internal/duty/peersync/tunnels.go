package peersync

import (
	"context"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/tunnelserver"
)

// tunnelMargin is the part of the grace that is left when the tunnels of peers are cut.
const tunnelMargin = 450 * time.Millisecond

// closeTunnels waits until peers have ended their tunnels through this instance, within the grace since the server began to drain.
func closeTunnels(ctx context.Context, sv *tunnelserver.Server, grace time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, sv.DrainingSince().Add(max(0, grace-tunnelMargin)))
	defer cancel()
	sv.Close(ctx)
}

// tunnelPeers lists the peers that may be asked for tunnels, from the live members.
type tunnelPeers struct {
	live func() ([]gossip.Member, []permit.Candidate)

	mu sync.Mutex
	// peers is made from members, the list of live members at a version of that list.
	members []gossip.Member
	peers   []tunnelclient.Peer
	version uint64
}

// list returns the peers and the version of the list, which changes with each change of the live members.
func (tp *tunnelPeers) list() ([]tunnelclient.Peer, uint64) {
	live, _ := tp.live()
	tp.mu.Lock()
	defer tp.mu.Unlock()
	// The list of live members is replaced, and never modified, when a member changes.
	if len(live) > 0 && len(tp.members) == len(live) && &tp.members[0] == &live[0] {
		return tp.peers, tp.version
	}
	tp.members, tp.version = live, tp.version+1
	tp.peers = make([]tunnelclient.Peer, len(live))
	for i, mb := range live {
		tp.peers[i] = tunnelclient.Peer{
			Name: mb.Name, Address: mb.Address, AvailabilityZone: mb.AvailabilityZone, BandwidthMbps: mb.BandwidthMbps, Stopping: mb.Stopping,
		}
	}
	return tp.peers, tp.version
}
