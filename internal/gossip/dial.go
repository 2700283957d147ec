package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/set"
)

// dialState is what is known of an address that was dialled.
type dialState struct {
	// busy is set while a goroutine dials or keeps a link.
	inUse bool
	// ended is when the last attempt ended.
	endedAt time.Time
	// reached is the name of who answered last; empty when nobody did yet.
	peerName string
}

// connect dials the members and seeds that a link is missing to, and closes links that are not needed.
func (ms *Mesh) reconcileLinks(ctx context.Context, wg *sync.WaitGroup) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	wanted := ms.wantedMembers()
	ms.closeUnneededLinks(wanted, now)
	addresses := append(ms.missingAddresses(wanted, now), ms.missingSeeds()...)
	ms.evictDials(addresses, now)
	for _, address := range addresses {
		ds := ms.dials[address]
		if ds == nil {
			ds = &dialState{}
			ms.dials[address] = ds
		}
		if ds.inUse || !ds.endedAt.IsZero() && now.Sub(ds.endedAt) < redialInterval {
			continue
		}
		ds.inUse = true
		wg.Go(func() { ms.runLink(ctx, address, ds) })
	}
}

func (ms *Mesh) runLink(ctx context.Context, address string, ds *dialState) {
	err := ms.openLink(ctx, address)
	if ctx.Err() == nil {
		ms.opts.Log.WithField("address", address).WithError(err).Debug("gossip link down")
	}
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ds.inUse, ds.endedAt = false, now
	var de *dialError
	if errors.As(err, &de) {
		ms.suspectAddress(address, now)
	}
}

// suspectAt suspects the live member of an address that could not be dialled, unless a link to it stands.
func (ms *Mesh) suspectAddress(address string, now time.Time) {
	for _, r := range ms.records {
		if r.Address == address && r.live && ms.linkTo(r.Member) == nil {
			ms.suspect(r.Name, now)
		}
	}
}

// forgetDials drops what is known of addresses that are neither dialled nor seeds.
func (ms *Mesh) evictDials(needed []string, now time.Time) {
	keep := set.Of(append(needed, ms.opts.Seeds...)...)
	for address, ds := range ms.dials {
		if !ds.inUse && !keep.Has(address) && now.Sub(ds.endedAt) >= redialInterval {
			delete(ms.dials, address)
		}
	}
}

// missing returns the addresses of the wanted members without a link. The instance with the higher name gives the other
// time to dial first.
func (ms *Mesh) missingAddresses(wanted []*record, now time.Time) []string {
	linked := map[string]string{}
	for lk := range ms.links {
		linked[lk.peer.Name] = lk.peer.Incarnation
	}
	var addresses []string
	for _, r := range wanted {
		waits := !ms.dialsFirst(r) && ms.clock.elapsedAt(now)-r.unlinkedSince < dialGracePeriod
		incarnation, ok := linked[r.Name]
		if waits || ok && incarnation == r.Incarnation || r.Address == "" || r.Address == ms.self.Address {
			continue
		}
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// dialsFirst reports whether this instance is the one of a pair that dials: who subscribes, else who has the lower name.
func (ms *Mesh) dialsFirst(r *record) bool {
	self := ms.self.Member
	if !ms.plan.fullMesh && r.AvailabilityZone == self.AvailabilityZone && ms.plan.isRelay(self) != ms.plan.isRelay(r.Member) {
		return !ms.plan.isRelay(self)
	}
	return self.Name < r.Name
}

// missingSeeds returns the seeds that led neither to this instance nor to a live member.
func (ms *Mesh) missingSeeds() []string {
	live := map[string]bool{ms.self.Address: true}
	for _, r := range ms.records {
		if r.live {
			live[r.Address] = true
		}
	}
	var seeds []string
	for _, address := range ms.opts.Seeds {
		if !live[address] && !ms.seedReachedLive(address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func (ms *Mesh) seedReachedLive(address string) bool {
	ds := ms.dials[address]
	if ds == nil || ds.peerName == "" {
		return false
	}
	r := ms.records[ds.peerName]
	return ds.peerName == ms.self.Name || r != nil && r.live
}

// tidy closes links that this instance dialled and that the plan has no longer, or that stand twice. Since only who
// dialled closes, two instances never close both links of a pair.
func (ms *Mesh) closeUnneededLinks(wanted []*record, now time.Time) {
	names := map[string]bool{}
	for _, r := range wanted {
		names[r.Name] = true
	}
	awake := ms.clock.elapsedAt(now)
	for lk := range ms.links {
		if lk.address == "" || lk.peer.Name == "" {
			continue
		}
		switch {
		case names[lk.peer.Name]:
			lk.unwantedSince = 0
		case lk.unwantedSince == 0:
			lk.unwantedSince = awake
		}
		if lk.unwantedSince > 0 && awake-lk.unwantedSince >= ms.opts.LostAfter || ms.isDuplicateLink(lk, awake) {
			lk.closing = true
			lk.close()
		}
	}
}

// standsTwice reports whether another link to the peer is the one to keep: of two links that of the lower name, or the
// older one.
func (ms *Mesh) isDuplicateLink(lk *link, awake time.Duration) bool {
	for other := range ms.links {
		samePeer := other != lk && other.peer.Name == lk.peer.Name && other.peer.Incarnation == lk.peer.Incarnation
		if !samePeer || awake-other.lastHeard > 2*ms.opts.HeartbeatInterval {
			continue
		}
		if other.address == "" && lk.peer.Name < ms.self.Name {
			return true
		}
		if other.address != "" && other.seq < lk.seq {
			return true
		}
	}
	return false
}
