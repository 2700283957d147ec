package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	// wireVersion is the first byte of an encoded snapshot. It changes with the encoding. wholeRequestsVersion was the encoding of
	// previous builds, in which all fingerprints were those of whole requests. An empty snapshot is still sent in it.
	wireVersion          = 2
	wholeRequestsVersion = 1
	// maxListLength bounds each list in an encoded snapshot to 10 kB, and the memory that decoding allocates.
	maxListLength = 256
	// maxMembers bounds the members of a quarantine.
	maxMembers = 8
	// maxIncarnationLength bounds the identifier of an incarnation, in bytes.
	maxIncarnationLength = 256
	// maxDuration bounds the durations on the wire. It is far longer than any in use, and safe to add to a time.
	maxDuration = 24 * time.Hour
)

// VersionError means that a peer sent a snapshot in another encoding.
type VersionError struct{ Version byte }

// Error names the version.
func (ve *VersionError) Error() string {
	return "unsupported snapshot version " + strconv.Itoa(int(ve.Version))
}

// Encode returns the wire form of a snapshot taken at the given time. Ages are in whole milliseconds.
func (sn Snapshot) Encode(takenAt time.Time) []byte {
	if len(sn.Evidence)+len(sn.Tombstones)+len(sn.Quarantines)+len(sn.ActiveRuns) == 0 {
		return []byte{wholeRequestsVersion, 0, 0, 0, 0}
	}
	b := []byte{wireVersion}
	b = appendList(b, sn.Evidence, func(b []byte, ev Evidence) []byte { return ev.append(b, takenAt) })
	b = appendList(b, sn.Tombstones, func(b []byte, ts Tombstone) []byte {
		b = appendDuration(appendFingerprint(b, ts.Fingerprint), takenAt.Sub(ts.At))
		return appendDuration(b, remainingLift(ts, takenAt))
	})
	b = appendList(b, sn.Quarantines, func(b []byte, qu Quarantine) []byte { return qu.append(b, takenAt) })
	return appendList(b, sn.ActiveRuns, func(b []byte, ar ActiveRunSummary) []byte {
		return appendDuration(appendFingerprint(b, ar.Fingerprint), takenAt.Sub(ar.Since))
	})
}

// appendList appends the last entries of a list, with their number in front.
func appendList[T any](b []byte, list []T, appendEntry func([]byte, T) []byte) []byte {
	list = lastEntries(list)
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, entry := range list {
		b = appendEntry(b, entry)
	}
	return b
}

func (ev Evidence) append(b []byte, takenAt time.Time) []byte {
	b = appendFingerprint(b, ev.Fingerprint)
	b = binary.AppendUvarint(b, uint64(ev.Run))
	b = peercodec.AppendString(b, ev.Incarnation)
	b = appendDuration(b, ev.Elapsed)
	answering := byte(0)
	if ev.Answering {
		answering = 1
	}
	b = append(b, answering)
	return appendDuration(b, takenAt.Sub(ev.At))
}

func (qu Quarantine) append(b []byte, takenAt time.Time) []byte {
	b = appendList(b, qu.Members, appendFingerprint)
	b = binary.AppendUvarint(b, uint64(qu.Crashes))
	b = binary.AppendUvarint(b, uint64(qu.Level))
	b = appendDuration(b, qu.Since.Sub(qu.EvidenceFrom))
	b = appendDuration(b, takenAt.Sub(qu.Since))
	return appendDuration(b, qu.Until.Sub(qu.Since))
}

func appendFingerprint(b []byte, fp fingerprint.Fingerprint) []byte {
	return append(append(b, byte(fp.Kind)), fp.Digest[:]...)
}

// lastEntries returns the last maxListLength elements of a list.
func lastEntries[T any](list []T) []T { return list[max(0, len(list)-maxListLength):] }

// remainingLift returns how long a tombstone by an operator still holds; zero for other tombstones.
func remainingLift(ts Tombstone, takenAt time.Time) time.Duration {
	if !ts.ByOperator {
		return 0
	}
	return max(time.Millisecond, ts.Until.Sub(takenAt))
}

func appendDuration(b []byte, d time.Duration) []byte {
	return peercodec.AppendDuration(b, d, maxDuration)
}

// Decode reads the snapshot of a peer. takenAt is when it was taken, on the local clock. It fails with a VersionError or a
// peercodec.MalformedError.
func Decode(b []byte, takenAt time.Time) (Snapshot, error) {
	if len(b) == 0 {
		return Snapshot{}, errors.Wrap(&peercodec.MalformedError{Reason: "no bytes"}, "decode snapshot")
	}
	if b[0] != wireVersion && b[0] != wholeRequestsVersion {
		return Snapshot{}, errors.Wrap(&VersionError{Version: b[0]}, "decode snapshot")
	}
	rd := reader{Reader: peercodec.NewReader(b[1:]), version: b[0], takenAt: takenAt}
	var sn Snapshot
	for range rd.count() {
		sn.Evidence = append(sn.Evidence, rd.evidence())
	}
	for range rd.count() {
		ts := Tombstone{Fingerprint: rd.fingerprint(), At: rd.time()}
		if left := rd.duration(); left > 0 {
			ts.ByOperator, ts.Until = true, takenAt.Add(left)
		}
		sn.Tombstones = append(sn.Tombstones, ts)
	}
	for range rd.count() {
		sn.Quarantines = append(sn.Quarantines, rd.quarantine())
	}
	for range rd.count() {
		sn.ActiveRuns = append(sn.ActiveRuns, ActiveRunSummary{Fingerprint: rd.fingerprint(), Since: rd.time()})
	}
	if err := rd.Finish(); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return sn, nil
}

// reader reads the parts of a snapshot. After a failure it returns zero values.
type reader struct {
	*peercodec.Reader
	version byte
	takenAt time.Time
}

func (rd *reader) count() int { return int(rd.ReadUvarint(maxListLength)) }

// boundedInt reads a number of crashes or a quarantine level.
func (rd *reader) boundedInt() int { return int(rd.ReadUvarint(1 << 16)) }

func (rd *reader) duration() time.Duration { return rd.ReadDuration(maxDuration) }

// time reads the age of something.
func (rd *reader) time() time.Time { return rd.takenAt.Add(-rd.duration()) }

func (rd *reader) fingerprint() fingerprint.Fingerprint {
	var fp fingerprint.Fingerprint
	if rd.version != wholeRequestsVersion {
		fp.Kind = fingerprint.Kind(rd.ReadUvarint(math.MaxInt8))
	}
	copy(fp.Digest[:], rd.ReadBytes(len(fp.Digest)))
	return fp
}

func (rd *reader) evidence() Evidence {
	ev := Evidence{Fingerprint: rd.fingerprint()}
	if rd.version != wholeRequestsVersion {
		ev.Run = uint32(rd.ReadUvarint(math.MaxUint32))
	}
	ev.Incarnation, ev.Elapsed = rd.ReadString(maxIncarnationLength), rd.duration()
	if rd.version != wholeRequestsVersion {
		ev.Answering = rd.ReadUvarint(1) == 1
	}
	ev.At = rd.time()
	return ev
}

func (rd *reader) quarantine() Quarantine {
	members := 1
	if rd.version != wholeRequestsVersion {
		members = int(rd.ReadUvarint(maxMembers))
	}
	var qu Quarantine
	for range members {
		qu.Members = append(qu.Members, rd.fingerprint())
	}
	if !slices.IsSortedFunc(qu.Members, fingerprint.Fingerprint.Compare) || members == 0 {
		rd.Fail("members not sorted")
	}
	qu.Crashes, qu.Level = rd.boundedInt(), rd.boundedInt()
	evidenceAge := ageTolerance
	if rd.version != wholeRequestsVersion {
		evidenceAge = rd.duration()
	}
	qu.Since = rd.time()
	qu.EvidenceFrom = qu.Since.Add(-evidenceAge)
	qu.Until = qu.Since.Add(rd.duration())
	return qu
}
