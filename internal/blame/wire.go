package blame

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/peerbytes"
)

const (
	// wireVersion is the first byte of encoded notes. It changes with their form.
	wireVersion = 1
	// maxTold bounds each list that is told, the newest or first of them: 10 kB a list, and what decoding allocates.
	maxListLength = 256
	// maxName bounds the name of an incarnation, in bytes.
	maxIncarnationLength = 256
	// maxSpan is the longest time that is told, far beyond every use, and safe to add to a time.
	maxDuration = 24 * time.Hour
)

// VersionError says that a peer tells its notes in another form.
type VersionError struct{ Version byte }

// Error names the form.
func (ve *VersionError) Error() string { return "notes of version " + strconv.Itoa(int(ve.Version)) }

// Encode returns the bytes that peers get of notes made at a time. Ages are told in whole milliseconds.
func (sn Snapshot) Encode(takenAt time.Time) []byte {
	b := []byte{wireVersion}
	evidence := newest(sn.Evidence)
	b = binary.AppendUvarint(b, uint64(len(evidence)))
	for _, rn := range evidence {
		b = append(b, rn.Request[:]...)
		b = peerbytes.AppendName(b, rn.Incarnation)
		b = appendDuration(b, rn.Elapsed)
		b = appendDuration(b, takenAt.Sub(rn.At))
	}
	tombstones := newest(sn.Tombstones)
	b = binary.AppendUvarint(b, uint64(len(tombstones)))
	for _, ts := range tombstones {
		b = append(b, ts.Request[:]...)
		b = appendDuration(b, takenAt.Sub(ts.At))
		b = appendDuration(b, remainingLift(ts, takenAt))
	}
	quarantines := newest(sn.Quarantines)
	b = binary.AppendUvarint(b, uint64(len(quarantines)))
	for _, qu := range quarantines {
		b = append(b, qu.Request[:]...)
		b = binary.AppendUvarint(b, uint64(qu.Crashes))
		b = binary.AppendUvarint(b, uint64(qu.Level))
		b = appendDuration(b, takenAt.Sub(qu.Since))
		b = appendDuration(b, qu.Until.Sub(qu.Since))
	}
	activeRuns := newest(sn.ActiveRuns)
	b = binary.AppendUvarint(b, uint64(len(activeRuns)))
	for _, ar := range activeRuns {
		b = append(b, ar.Request[:]...)
		b = appendDuration(b, takenAt.Sub(ar.Since))
	}
	return b
}

// newest returns the last of a list that is too long to be told.
func newest[T any](list []T) []T { return list[max(0, len(list)-maxListLength):] }

// lifted is how long a clearance still stands that an operator made; zero for the others.
func remainingLift(ts Tombstone, takenAt time.Time) time.Duration {
	if !ts.ByOperator {
		return 0
	}
	return max(time.Millisecond, ts.Until.Sub(takenAt))
}

func appendDuration(b []byte, d time.Duration) []byte { return peerbytes.AppendSpan(b, d, maxDuration) }

// Decode reads a peer's notes that were made at a time by this instance's clock. It fails with a VersionError or a
// peerbytes.MalformedError.
func Decode(b []byte, takenAt time.Time) (Snapshot, error) {
	if len(b) == 0 {
		return Snapshot{}, errors.Wrap(&peerbytes.MalformedError{Reason: "no bytes"}, "decode notes")
	}
	if b[0] != wireVersion {
		return Snapshot{}, errors.Wrap(&VersionError{Version: b[0]}, "decode notes")
	}
	rd := reader{peerbytes.NewReader(b[1:])}
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
	if err := rd.End(); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode notes")
	}
	return sn, nil
}

// reader reads notes from their start. After a failure it reads zeros.
type reader struct{ *peerbytes.Reader }

func (rd *reader) count() int { return int(rd.Number(maxListLength)) }

// small reads a count of ends or judgements.
func (rd *reader) boundedInt() int { return int(rd.Number(1 << 16)) }

func (rd *reader) duration() time.Duration { return rd.Span(maxDuration) }

func (rd *reader) fingerprint() fingerprint.Fingerprint {
	var fp fingerprint.Fingerprint
	copy(fp[:], rd.Bytes(len(fp)))
	return fp
}

func (rd *reader) incarnation() string { return rd.Name(maxIncarnationLength) }
