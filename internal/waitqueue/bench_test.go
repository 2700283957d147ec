package waitqueue_test

import (
	"math"
	"testing"
	"time"
)

// BenchmarkTurn measures joining a queue of 1,000 requests, giving a turn to the first and removing it.
func BenchmarkTurn(b *testing.B) {
	qu := newQueue(1001)
	for i := range 1000 {
		qu.Join(short(time.Duration(i)*time.Microsecond), "", start)
	}
	for b.Loop() {
		qu.Join(short(0), "", start)
		qu.Remove(qu.Take(start, math.MaxInt64))
	}
}
