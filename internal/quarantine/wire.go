package quarantine

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	// wireVersion is the first byte of an encoded snapshot. It changes with the encoding.
	wireVersion = 1
	// maxListLength bounds each list in an encoded snapshot to 10 kB, and the memory that decoding allocates.
	maxListLength = 256
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
	b := []byte{wireVersion}
	evidence := lastEntries(sn.Evidence)
	b = binary.AppendUvarint(b, uint64(len(evidence)))
	for _, rn := range evidence {
		b = append(b, rn.Request[:]...)
		b = peercodec.AppendString(b, rn.Incarnation)
		b = appendDuration(b, rn.Elapsed)
		b = appendDuration(b, takenAt.Sub(rn.At))
	}
	tombstones := lastEntries(sn.Tombstones)
	b = binary.AppendUvarint(b, uint64(len(tombstones)))
	for _, ts := range tombstones {
		b = append(b, ts.Request[:]...)
		b = appendDuration(b, takenAt.Sub(ts.At))
		b = appendDuration(b, remainingLift(ts, takenAt))
	}
	quarantines := lastEntries(sn.Quarantines)
	b = binary.AppendUvarint(b, uint64(len(quarantines)))
	for _, qu := range quarantines {
		b = append(b, qu.Request[:]...)
		b = binary.AppendUvarint(b, uint64(qu.Crashes))
		b = binary.AppendUvarint(b, uint64(qu.Level))
		b = appendDuration(b, takenAt.Sub(qu.Since))
		b = appendDuration(b, qu.Until.Sub(qu.Since))
	}
	activeRuns := lastEntries(sn.ActiveRuns)
	b = binary.AppendUvarint(b, uint64(len(activeRuns)))
	for _, ar := range activeRuns {
		b = append(b, ar.Request[:]...)
		b = appendDuration(b, takenAt.Sub(ar.Since))
	}
	return b
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
	if b[0] != wireVersion {
		return Snapshot{}, errors.Wrap(&VersionError{Version: b[0]}, "decode snapshot")
	}
	rd := reader{peercodec.NewReader(b[1:])}
	var sn Snapshot
	for range rd.count() {
		rn := InterruptedRun{Request: rd.fingerprint(), Incarnation: rd.incarnation()}
		rn.Elapsed = rd.duration()
		rn.At = takenAt.Add(-rd.duration())
		sn.Evidence = append(sn.Evidence, rn)
	}
	for range rd.count() {
		ts := Tombstone{Request: rd.fingerprint(), At: takenAt.Add(-rd.duration())}
		if left := rd.duration(); left > 0 {
			ts.ByOperator, ts.Until = true, takenAt.Add(left)
		}
		sn.Tombstones = append(sn.Tombstones, ts)
	}
	for range rd.count() {
		qu := Quarantine{Request: rd.fingerprint(), Crashes: rd.boundedInt(), Level: rd.boundedInt()}
		qu.Since = takenAt.Add(-rd.duration())
		qu.Until = qu.Since.Add(rd.duration())
		sn.Quarantines = append(sn.Quarantines, qu)
	}
	for range rd.count() {
		sn.ActiveRuns = append(sn.ActiveRuns, ActiveRunSummary{Request: rd.fingerprint(), Since: takenAt.Add(-rd.duration())})
	}
	if err := rd.Finish(); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return sn, nil
}

// reader reads the parts of a snapshot. After a failure it returns zero values.
type reader struct{ *peercodec.Reader }

func (rd *reader) count() int { return int(rd.ReadUvarint(maxListLength)) }

// boundedInt reads a number of crashes or a quarantine level.
func (rd *reader) boundedInt() int { return int(rd.ReadUvarint(1 << 16)) }

func (rd *reader) duration() time.Duration { return rd.ReadDuration(maxDuration) }

func (rd *reader) fingerprint() fingerprint.Fingerprint {
	var fp fingerprint.Fingerprint
	copy(fp[:], rd.ReadBytes(len(fp)))
	return fp
}

func (rd *reader) incarnation() string { return rd.ReadString(maxIncarnationLength) }
