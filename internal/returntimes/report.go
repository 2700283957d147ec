package returntimes

import (
	"encoding/binary"
	"time"

	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	callerBytes = 8
	laneBytes   = 4
	// maxAge is how long after its time a promise is still told, since its caller may return at a peer until then.
	maxAge = lateTolerance + bucketSize
)

// Encode returns what this instance tells its peers: its promises, by their distance from now, and after them the callers whose promises it
// settled. It is empty if there are none.
func (ld *Ledger) Encode(now time.Time) []byte {
	ld.prune(now)
	if len(ld.own)+len(ld.settled) == 0 {
		return nil
	}
	b := binary.AppendUvarint(nil, uint64(len(ld.own)))
	for ca, pm := range ld.own {
		b = binary.BigEndian.AppendUint64(b, uint64(ca))
		b = binary.BigEndian.AppendUint32(b, uint32(pm.Lane))
		b = peercodec.AppendDuration(b, pm.At.Sub(now)+maxAge, maxHorizon+maxAge)
	}
	for ca := range ld.settled {
		b = binary.BigEndian.AppendUint64(b, uint64(ca))
	}
	return b
}

// Receive replaces the promises of a peer by those that it told at a time, and ends those that it settled. It fails with a
// peercodec.MalformedError, and then keeps none.
func (ld *Ledger) Receive(peer string, b []byte, at time.Time) error {
	ld.Forget(peer)
	if len(b) == 0 {
		return nil
	}
	rd := peercodec.NewReader(b)
	pms := map[Caller]Promise{}
	for range rd.ReadUvarint(MaxPromises) {
		ca := readCaller(rd)
		lane, after := rd.ReadBytes(laneBytes), rd.ReadDuration(maxHorizon+maxAge)
		if rd.Failed() {
			break
		}
		if _, over := ld.settled[ca]; !over {
			pms[ca] = Promise{Lane: Lane(binary.BigEndian.Uint32(lane)), At: at.Add(after - maxAge)}
		}
	}
	var settled []Caller
	for rd.Remaining() > 0 && !rd.Failed() && len(settled) < MaxPromises {
		settled = append(settled, readCaller(rd))
	}
	if err := rd.Finish(); err != nil {
		return err
	}
	ld.peers[peer] = pms
	for _, pm := range pms {
		ld.counts[ld.bucketOf(pm)]++
	}
	for _, ca := range settled {
		ld.dropSettled(ca, at)
	}
	return nil
}

// dropSettled ends the promise of a caller that a peer settled before the given time, unless this instance gave it one since.
func (ld *Ledger) dropSettled(ca Caller, at time.Time) {
	if pm, known := ld.own[ca]; known && pm.given.After(at) {
		return
	}
	ld.dropAll(ca)
}

func readCaller(rd *peercodec.Reader) Caller {
	b := rd.ReadBytes(callerBytes)
	if rd.Failed() {
		return 0
	}
	return Caller(binary.BigEndian.Uint64(b))
}

// Forget removes the promises of a peer.
func (ld *Ledger) Forget(peer string) {
	for ca := range ld.peers[peer] {
		ld.drop(ld.peers[peer], ca)
	}
	delete(ld.peers, peer)
}
