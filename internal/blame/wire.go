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
func (sn Snapshot) Encode(made time.Time) []byte {
	b := []byte{wireVersion}
	runs := newest(sn.Evidence)
	b = binary.AppendUvarint(b, uint64(len(runs)))
	for _, rn := range runs {
		b = append(b, rn.Request[:]...)
		b = peerbytes.AppendName(b, rn.Incarnation)
		b = appendDuration(b, rn.Elapsed)
		b = appendDuration(b, made.Sub(rn.At))
	}
	cleared := newest(sn.Tombstones)
	b = binary.AppendUvarint(b, uint64(len(cleared)))
	for _, cl := range cleared {
		b = append(b, cl.Request[:]...)
		b = appendDuration(b, made.Sub(cl.At))
		b = appendDuration(b, remainingLift(cl, made))
	}
	judged := newest(sn.Quarantines)
	b = binary.AppendUvarint(b, uint64(len(judged)))
	for _, jd := range judged {
		b = append(b, jd.Request[:]...)
		b = binary.AppendUvarint(b, uint64(jd.Crashes))
		b = binary.AppendUvarint(b, uint64(jd.Level))
		b = appendDuration(b, made.Sub(jd.Since))
		b = appendDuration(b, jd.Until.Sub(jd.Since))
	}
	surviving := newest(sn.ActiveRuns)
	b = binary.AppendUvarint(b, uint64(len(surviving)))
	for _, sv := range surviving {
		b = append(b, sv.Request[:]...)
		b = appendDuration(b, made.Sub(sv.Since))
	}
	return b
}

// newest returns the last of a list that is too long to be told.
func newest[T any](list []T) []T { return list[max(0, len(list)-maxListLength):] }

// lifted is how long a clearance still stands that an operator made; zero for the others.
func remainingLift(cl Tombstone, made time.Time) time.Duration {
	if !cl.ByOperator {
		return 0
	}
	return max(time.Millisecond, cl.Until.Sub(made))
}

func appendDuration(b []byte, d time.Duration) []byte { return peerbytes.AppendSpan(b, d, maxDuration) }

// Decode reads a peer's notes that were made at a time by this instance's clock. It fails with a VersionError or a
// peerbytes.MalformedError.
func Decode(b []byte, made time.Time) (Snapshot, error) {
	if len(b) == 0 {
		return Snapshot{}, errors.Wrap(&peerbytes.MalformedError{Reason: "no bytes"}, "decode notes")
	}
	if b[0] != wireVersion {
		return Snapshot{}, errors.Wrap(&VersionError{Version: b[0]}, "decode notes")
	}
	rd := reader{peerbytes.NewReader(b[1:])}
	var nt Snapshot
	for range rd.count() {
		rn := InterruptedRun{Request: rd.fingerprint(), Incarnation: rd.incarnation()}
		rn.Elapsed = rd.duration()
		rn.At = made.Add(-rd.duration())
		nt.Evidence = append(nt.Evidence, rn)
	}
	for range rd.count() {
		cl := Tombstone{Request: rd.fingerprint(), At: made.Add(-rd.duration())}
		if left := rd.duration(); left > 0 {
			cl.ByOperator, cl.Until = true, made.Add(left)
		}
		nt.Tombstones = append(nt.Tombstones, cl)
	}
	for range rd.count() {
		jd := Quarantine{Request: rd.fingerprint(), Crashes: rd.boundedInt(), Level: rd.boundedInt()}
		jd.Since = made.Add(-rd.duration())
		jd.Until = jd.Since.Add(rd.duration())
		nt.Quarantines = append(nt.Quarantines, jd)
	}
	for range rd.count() {
		nt.ActiveRuns = append(nt.ActiveRuns, ActiveRunSummary{Request: rd.fingerprint(), Since: made.Add(-rd.duration())})
	}
	if err := rd.End(); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode notes")
	}
	return nt, nil
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
