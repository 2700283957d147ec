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
	busy bool
	// ended is when the last attempt ended.
	ended time.Time
	// reached is the name of who answered last; empty when nobody did yet.
	reached string
}

// connect dials the members and seeds that a link is missing to, and closes links that are not needed.
func (ms *Mesh) connect(ctx context.Context, wg *sync.WaitGroup) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	wanted := ms.wanted()
	ms.tidy(wanted, now)
	addresses := append(ms.missing(wanted, now), ms.missingSeeds()...)
	ms.forgetDials(addresses, now)
	for _, address := range addresses {
		ds := ms.dials[address]
		if ds == nil {
			ds = &dialState{}
			ms.dials[address] = ds
		}
		if ds.busy || !ds.ended.IsZero() && now.Sub(ds.ended) < redialPause {
			continue
		}
		ds.busy = true
		wg.Go(func() { ms.keep(ctx, address, ds) })
	}
}

func (ms *Mesh) keep(ctx context.Context, address string, ds *dialState) {
	err := ms.open(ctx, address)
	if ctx.Err() == nil {
		ms.opts.Log.WithField("address", address).WithError(err).Debug("gossip link down")
	}
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ds.busy, ds.ended = false, now
	var de *dialError
	if errors.As(err, &de) {
		ms.suspectAt(address, now)
	}
}

// suspectAt suspects the live member of an address that could not be dialled, unless a link to it stands.
func (ms *Mesh) suspectAt(address string, now time.Time) {
	for _, r := range ms.records {
		if r.Address == address && r.live && ms.linkTo(r.Member) == nil {
			ms.suspect(r.Name, now)
		}
	}
}

// forgetDials drops what is known of addresses that are neither dialled nor seeds.
func (ms *Mesh) forgetDials(needed []string, now time.Time) {
	keep := set.Of(append(needed, ms.opts.Seeds...)...)
	for address, ds := range ms.dials {
		if !ds.busy && !keep.Has(address) && now.Sub(ds.ended) >= redialPause {
			delete(ms.dials, address)
		}
	}
}

// missing returns the addresses of the wanted members without a link. The instance with the higher name gives the other
// time to dial first.
func (ms *Mesh) missing(wanted []*record, now time.Time) []string {
	linked := map[string]string{}
	for lk := range ms.links {
		linked[lk.peer.Name] = lk.peer.Incarnation
	}
	var addresses []string
	for _, r := range wanted {
		waits := !ms.dialsFirst(r) && ms.awake.at(now)-r.unlinked < dialGrace
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
	if !ms.plan.full && r.AvailabilityZone == self.AvailabilityZone && ms.plan.relay(self) != ms.plan.relay(r.Member) {
		return !ms.plan.relay(self)
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
		if !live[address] && !ms.reachedLive(address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func (ms *Mesh) reachedLive(address string) bool {
	ds := ms.dials[address]
	if ds == nil || ds.reached == "" {
		return false
	}
	r := ms.records[ds.reached]
	return ds.reached == ms.self.Name || r != nil && r.live
}

// tidy closes links that this instance dialled and that the plan has no longer, or that stand twice. Since only who
// dialled closes, two instances never close both links of a pair.
func (ms *Mesh) tidy(wanted []*record, now time.Time) {
	names := map[string]bool{}
	for _, r := range wanted {
		names[r.Name] = true
	}
	awake := ms.awake.at(now)
	for lk := range ms.links {
		if lk.address == "" || lk.peer.Name == "" {
			continue
		}
		switch {
		case names[lk.peer.Name]:
			lk.unwanted = 0
		case lk.unwanted == 0:
			lk.unwanted = awake
		}
		if lk.unwanted > 0 && awake-lk.unwanted >= ms.opts.LostAfter || ms.standsTwice(lk, awake) {
			lk.closing = true
			lk.close()
		}
	}
}

// standsTwice reports whether another link to the peer is the one to keep: of two links that of the lower name, or the
// older one.
func (ms *Mesh) standsTwice(lk *link, awake time.Duration) bool {
	for other := range ms.links {
		samePeer := other != lk && other.peer.Name == lk.peer.Name && other.peer.Incarnation == lk.peer.Incarnation
		if !samePeer || awake-other.heard > 2*ms.opts.HeartbeatInterval {
			continue
		}
		if other.address == "" && lk.peer.Name < ms.self.Name {
			return true
		}
		if other.address != "" && other.opened < lk.opened {
			return true
		}
	}
	return false
}
