package targetpace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	// slowdownScale is the precision of a slowdown on the wire.
	slowdownScale = 100
	// maxReported bounds the estimates in a report. With names of 40 bytes they take 6 kB, well below the size of a load report.
	maxReported = 128
	// maxNameBytes bounds the name of an incarnation.
	maxNameBytes = 256
)

// Append appends estimates to b in the form for peers, with the age of their newest samples. It leaves out those beyond maxReported.
func Append(b []byte, all []Estimate, now time.Time) []byte {
	all = all[:min(len(all), maxReported)]
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, es := range all {
		b = binary.AppendUvarint(b, uint64(len(es.Target)))
		b = append(b, es.Target...)
		b = binary.AppendUvarint(b, uint64(math.Round(es.Slowdown*slowdownScale)))
		b = binary.AppendUvarint(b, uint64(min(maxAge, max(0, now.Sub(es.SampledAt))).Milliseconds()))
	}
	return b
}

// Read reads the estimates that a peer made at a time.
func Read(rd *peercodec.Reader, at time.Time) []Estimate {
	var all []Estimate
	for count := rd.ReadUvarint(maxReported); count > 0 && !rd.Failed(); count-- {
		es := Estimate{Target: rd.ReadString(maxNameBytes)}
		es.Slowdown = min(max(1, float64(rd.ReadUvarint(math.MaxUint32))/slowdownScale), MaxSlowdown)
		es.SampledAt = at.Add(-rd.ReadDuration(maxAge))
		if !rd.Failed() {
			all = append(all, es)
		}
	}
	return all
}
