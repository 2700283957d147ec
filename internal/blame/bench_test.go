package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/blame"
)

// BenchmarkHear measures what one more end costs that a peer tells, with eight runs under it, when as many ends are held as may be.
func BenchmarkMergePeer(b *testing.B) {
	const targets, under, before = 150, 8, 512
	ck := newClock()
	in := newInstance(ck, targets)
	no := 0
	tell := func() {
		no++
		ck.advance(time.Millisecond)
		var nt blame.Snapshot
		for at := range under {
			nt.Evidence = append(nt.Evidence, blame.InterruptedRun{
				Request: request(fmt.Sprint(no, "-", at)), Incarnation: fmt.Sprint("target-", no), Elapsed: longRun, At: ck.now,
			})
		}
		in.MergePeer("peer", nt)
	}
	for range before {
		tell()
	}
	for b.Loop() {
		tell()
	}
}
