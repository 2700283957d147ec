package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/set"
)

// dialState is the result of dialling an address.
type dialState struct {
	// inUse is set while a goroutine dials the address or runs a link to it.
	inUse bool
	// endedAt is when the last attempt or link ended; zero before.
	endedAt time.Time
	// peerName is the name of the last peer that answered; empty before the first answer.
	peerName string
}

// reconcileLinks dials the planned members and seeds that have no link, and closes links that are not needed.
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
		ms.opts.Log.WithField("address", address).WithError(err).Debug("gossip link ended")
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

// suspectAddress marks the live member at an address that could not be dialled as suspected, unless a link to it exists. The
// lock is held.
func (ms *Mesh) suspectAddress(address string, now time.Time) {
	for _, r := range ms.records {
		if r.Address == address && r.live && ms.linkTo(r.Member) == nil {
			ms.suspect(r.Name, now)
		}
	}
}

// evictDials removes the dial states of addresses that are not needed, not in use and not seeds.
func (ms *Mesh) evictDials(needed []string, now time.Time) {
	keep := set.Of(append(needed, ms.opts.Seeds...)...)
	for address, ds := range ms.dials {
		if !ds.inUse && !keep.Has(address) && now.Sub(ds.endedAt) >= redialInterval {
			delete(ms.dials, address)
		}
	}
}

// missingAddresses returns the addresses of the wanted members that have no link. The side of a pair that does not dial first
// leaves the other dialGracePeriod to do so.
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

// dialsFirst reports whether this instance of a pair dials: between a relay and another member of its availability zone the
// other member does, as the subscriber; otherwise the one with the lower name.
func (ms *Mesh) dialsFirst(r *record) bool {
	self := ms.self.Member
	if !ms.plan.fullMesh && r.AvailabilityZone == self.AvailabilityZone && ms.plan.isRelay(self) != ms.plan.isRelay(r.Member) {
		return !ms.plan.isRelay(self)
	}
	return self.Name < r.Name
}

// missingSeeds returns the seeds that lead neither to this instance nor to a live member.
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

// closeUnneededLinks closes links dialled by this instance that are duplicates or have been outside the plan for LostAfter.
// Since only the dialling side closes a link, two instances never close both links between them.
func (ms *Mesh) closeUnneededLinks(wanted []*record, now time.Time) {
	names := map[string]bool{}
	for _, r := range wanted {
		names[r.Name] = true
	}
	elapsed := ms.clock.elapsedAt(now)
	for lk := range ms.links {
		if lk.address == "" || lk.peer.Name == "" {
			continue
		}
		switch {
		case names[lk.peer.Name]:
			lk.unwantedSince = 0
		case lk.unwantedSince == 0:
			lk.unwantedSince = elapsed
		}
		if lk.unwantedSince > 0 && elapsed-lk.unwantedSince >= ms.opts.LostAfter || ms.isDuplicateLink(lk, elapsed) {
			lk.closing = true
			lk.close()
		}
	}
}

// isDuplicateLink reports whether another active link to the same peer is kept instead: the one dialled by the instance with
// the lower name or, of two that this instance dialled, the older one.
func (ms *Mesh) isDuplicateLink(lk *link, elapsed time.Duration) bool {
	for other := range ms.links {
		samePeer := other != lk && other.peer.Name == lk.peer.Name && other.peer.Incarnation == lk.peer.Incarnation
		if !samePeer || elapsed-other.lastHeard > 2*ms.opts.HeartbeatInterval {
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
