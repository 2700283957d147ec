package gradualreturn

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/silvermount/silvermount/internal/peercodec"
)

// Counts are the outcomes at one target since its return began.
type Counts struct {
	Target    string
	Good, Bad uint64
}

// Tally counts the outcomes at returning targets, of this instance and of its peers. It is not safe for concurrent use.
type Tally struct {
	// own holds this instance's counts of each returning target, pending the counts of all instances since the last Take.
	own, pending map[string]Counts
	// byPeer holds the latest counts of each peer, so that a lost report is made up by the next.
	byPeer map[string]map[string]Counts
}

// NewTally returns a Tally without targets.
func NewTally() *Tally {
	return &Tally{own: map[string]Counts{}, pending: map[string]Counts{}, byPeer: map[string]map[string]Counts{}}
}

// Open starts to count a target.
func (ta *Tally) Open(target string) {
	ta.own[target], ta.pending[target] = Counts{Target: target}, Counts{}
}

// Close stops to count a target.
func (ta *Tally) Close(target string) {
	delete(ta.own, target)
	delete(ta.pending, target)
}

// Record counts an outcome, and reports whether the target is being counted.
func (ta *Tally) Record(target string, good, bad bool) bool {
	co, open := ta.own[target]
	if !open || !good && !bad {
		return false
	}
	one := Counts{}
	if good {
		one.Good = 1
	}
	if bad {
		one.Bad = 1
	}
	ta.own[target] = Counts{Target: target, Good: co.Good + one.Good, Bad: co.Bad + one.Bad}
	ta.add(target, one)
	return true
}

// add adds counts to those that Take returns.
func (ta *Tally) add(target string, co Counts) {
	if pe, open := ta.pending[target]; open {
		ta.pending[target] = Counts{Good: pe.Good + co.Good, Bad: pe.Bad + co.Bad}
	}
}

// Take returns the outcomes of all instances since the last call.
func (ta *Tally) Take(target string) (good, bad int) {
	pe, open := ta.pending[target]
	if open {
		ta.pending[target] = Counts{}
	}
	return int(pe.Good), int(pe.Bad)
}

// Own returns the counts of this instance, for peers, sorted by target.
func (ta *Tally) Own() []Counts {
	var all []Counts
	for _, co := range ta.own {
		if co.Good+co.Bad > 0 {
			all = append(all, co)
		}
	}
	slices.SortFunc(all, func(a, b Counts) int { return strings.Compare(a.Target, b.Target) })
	return all
}

// SetPeer applies the counts of a peer. Lower counts than before are those of a new return.
func (ta *Tally) SetPeer(peer string, all []Counts) {
	before := ta.byPeer[peer]
	delete(ta.byPeer, peer)
	if len(all) == 0 {
		return
	}
	ta.byPeer[peer] = map[string]Counts{}
	for _, co := range all {
		ta.byPeer[peer][co.Target] = co
		if old := before[co.Target]; old.Good <= co.Good && old.Bad <= co.Bad {
			co.Good, co.Bad = co.Good-old.Good, co.Bad-old.Bad
		}
		ta.add(co.Target, co)
	}
}

// Forget removes the counts of a lost peer.
func (ta *Tally) Forget(peer string) { delete(ta.byPeer, peer) }

const (
	// maxReported bounds the counts in a report. With names of 40 bytes they take 6 kB, well below the size of a load report.
	maxReported = 128
	// maxNameBytes bounds the name of an incarnation.
	maxNameBytes = 256
)

// Append appends counts to b in the form for peers. It leaves out those beyond maxReported.
func Append(b []byte, all []Counts) []byte {
	all = all[:min(len(all), maxReported)]
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, co := range all {
		b = binary.AppendUvarint(b, uint64(len(co.Target)))
		b = append(b, co.Target...)
		b = binary.AppendUvarint(b, co.Good)
		b = binary.AppendUvarint(b, co.Bad)
	}
	return b
}

// Read reads the counts of a peer.
func Read(rd *peercodec.Reader) []Counts {
	var all []Counts
	for count := rd.ReadUvarint(maxReported); count > 0 && !rd.Failed(); count-- {
		co := Counts{Target: rd.ReadString(maxNameBytes), Good: rd.ReadUvarint(math.MaxUint32), Bad: rd.ReadUvarint(math.MaxUint32)}
		if !rd.Failed() {
			all = append(all, co)
		}
	}
	return all
}
