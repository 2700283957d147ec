package fairshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	// maxReportEntries is the number of organisations that a report names at most, minReportEntries the number that it always may name.
	// Those with the greatest demand come first, and only they can be above their shares.
	maxReportEntries = 256
	minReportEntries = 32
	// maxPeerEntries is the number of organisations in the reports of all peers. Adding up 95,000 took 6 ms, which on an instance with
	// a fifth of a core holds up decisions for tens of milliseconds.
	maxPeerEntries = 16384
	// maxReportServices bounds the entries for the rest of a service.
	maxReportServices = 16
	// entryBytes is the size of an entry: service, organisation, engine time used and unmet.
	entryBytes = 4 + 8 + 4 + 4
	// amountUnit is the unit of engine time in an entry.
	amountUnit = 100 * time.Microsecond
)

// entry is one organisation in a report.
type entry struct {
	key    Key
	amount Amount
}

// report is what a peer told at a time.
type report struct {
	// body holds entries of entryBytes each. They are decoded only when the sum over all instances is computed, which most reports
	// never need.
	body []byte
	at   time.Time
}

// Encode returns what this instance tells its peers of its own usage: the organisations with the greatest usage one by one, and the rest of
// each service as one.
func (ac *Accounts) Encode(now time.Time) []byte {
	entries := ac.ownEntries(now)
	limit := max(minReportEntries, min(maxReportEntries, maxPeerEntries/(1+len(ac.peers))))
	named, rest := splitGreatest(entries, limit)
	if len(rest) > maxReportServices {
		rest = rest[:maxReportServices]
	}
	b := make([]byte, 0, entryBytes*(len(named)+len(rest)))
	for _, en := range append(named, rest...) {
		b = binary.LittleEndian.AppendUint32(b, en.key.Service)
		b = binary.LittleEndian.AppendUint64(b, en.key.Organisation)
		b = binary.LittleEndian.AppendUint32(b, toUnits(en.amount.Used))
		b = binary.LittleEndian.AppendUint32(b, toUnits(en.amount.Unmet))
	}
	return b
}

func toUnits(d time.Duration) uint32 { return uint32(min(math.MaxUint32, max(0, d)/amountUnit)) }

// ownEntries returns the organisations with an amount in the window at this instance.
func (ac *Accounts) ownEntries(now time.Time) []entry {
	latest := ac.bucketOf(now)
	entries := make([]entry, 0, len(ac.own))
	for ke, act := range ac.own {
		if am := act.sum(latest); am != (Amount{}) {
			entries = append(entries, entry{ke, am})
		}
	}
	return entries
}

// splitGreatest returns the entries with the greatest demand, and the sum of the others for each service. Entries that are sums already stay
// sums.
func splitGreatest(entries []entry, limit int) (named, rest []entry) {
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.amount.demand(), a.amount.demand()), cmp.Compare(a.key.Organisation, b.key.Organisation), cmp.Compare(a.key.Service, b.key.Service))
	})
	sums := map[uint32]Amount{}
	for _, en := range entries {
		if en.key.Organisation != 0 && len(named) < limit {
			named = append(named, en)
			continue
		}
		sums[en.key.Service] = sums[en.key.Service].plus(en.amount)
	}
	for service, am := range sums {
		rest = append(rest, entry{Key{Service: service}, am})
	}
	return named, rest
}

// Receive replaces what a peer told. It fails with a peercodec.MalformedError, and then keeps what the peer told before.
func (ac *Accounts) Receive(peer string, body []byte, at time.Time) error {
	if len(body)%entryBytes != 0 || len(body) > entryBytes*(maxReportEntries+maxReportServices) {
		return &peercodec.MalformedError{Reason: "usage of organisations of a wrong size"}
	}
	if len(body) == 0 {
		delete(ac.peers, peer)
		return nil
	}
	ac.peers[peer] = report{body: slices.Clone(body), at: at}
	return nil
}

// Forget removes what a lost peer told.
func (ac *Accounts) Forget(peer string) { delete(ac.peers, peer) }

// addTo adds the entries of a report, faded by its age.
func (rp report) addTo(sums map[Key]Amount, now time.Time) {
	remaining := 1 - float64(now.Sub(rp.at))/float64(Window)
	if remaining <= 0 {
		return
	}
	for b := rp.body; len(b) >= entryBytes; b = b[entryBytes:] {
		ke := Key{Service: binary.LittleEndian.Uint32(b), Organisation: binary.LittleEndian.Uint64(b[4:])}
		am := Amount{
			Used:  time.Duration(binary.LittleEndian.Uint32(b[12:])) * amountUnit,
			Unmet: time.Duration(binary.LittleEndian.Uint32(b[16:])) * amountUnit,
		}
		sums[ke] = sums[ke].plus(am.scaled(min(1, remaining)))
	}
}
