package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/blame"
)

// BenchmarkHear measures what one more end costs that a peer tells, after many ends under others.
func BenchmarkHear(b *testing.B) {
	for _, before := range []int{10, 500} {
		b.Run(fmt.Sprint(before, " ends before"), func(b *testing.B) {
			ck := newClock()
			in := newInstance(ck, 150)
			tell := func(no int) {
				var nt blame.Notes
				for at := range 8 {
					nt.Runs = append(nt.Runs, blame.Run{
						Request: request(fmt.Sprint(no, "-", at)), Target: fmt.Sprint("target-", no), Exposure: lasting, At: ck.now,
					})
				}
				in.Hear("peer", nt)
			}
			for no := range before {
				tell(no)
			}
			no := before
			for b.Loop() {
				ck.pass(time.Millisecond)
				tell(no)
				no++
			}
		})
	}
}
