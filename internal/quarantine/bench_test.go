package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/quarantine"
)

// BenchmarkMergePeer measures the merge of one more crash, with eight runs interrupted by it, into the maximum number of crashes.
func BenchmarkMergePeer(b *testing.B) {
	const targets, runsPerCrash, crashesBefore = 150, 8, 512
	ck := newClock()
	in := newInstance(ck, targets)
	i := 0
	merge := func() {
		i++
		ck.advance(time.Millisecond)
		var sn quarantine.Snapshot
		for j := range runsPerCrash {
			sn.Evidence = append(sn.Evidence, quarantine.Evidence{
				Fingerprint: request(fmt.Sprint(i, "-", j)), Incarnation: fmt.Sprint("target-", i), Elapsed: longRun, At: ck.now,
			})
		}
		in.MergePeer("peer", sn)
	}
	for range crashesBefore {
		merge()
	}
	for b.Loop() {
		merge()
	}
}
