package tunnelserver

import (
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/silvermount/silvermount/internal/tunnelframe"
)

// tcpPair returns two connected ends.
func tcpPair(b *testing.B) (one, other *net.TCPConn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer lis.Close()
	nc, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	accepted, err := lis.Accept()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		nc.Close()
		accepted.Close()
	})
	return nc.(*net.TCPConn), accepted.(*net.TCPConn)
}

// BenchmarkForward measures one event of 1 KiB from a target to a peer, its arrival included.
func BenchmarkForward(b *testing.B) {
	const eventBytes = 1 << 10
	target, targetEnd := tcpPair(b)
	peer, peerEnd := tcpPair(b)
	go (&pair{peer: peerEnd, target: targetEnd, framed: true}).forward()
	event, got := make([]byte, eventBytes), make([]byte, tunnelframe.HeaderBytes+eventBytes)
	b.SetBytes(eventBytes)
	for b.Loop() {
		if _, err := target.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(peer, got); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOpenTunnels reports the memory of maxTunnels open tunnels.
func BenchmarkOpenTunnels(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		pairs := make([]*pair, maxTunnels)
		for i := range pairs {
			_, targetEnd := tcpPair(b)
			_, peerEnd := tcpPair(b)
			pairs[i] = &pair{peer: peerEnd, target: targetEnd, framed: true}
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, pr := range pairs {
			go pr.forward()
		}
		runtime.Gosched()
		for runtime.NumGoroutine() < 2*maxTunnels {
			runtime.Gosched()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		inUse := func(ms runtime.MemStats) uint64 { return ms.HeapInuse + ms.StackInuse }
		b.ReportMetric(float64(inUse(after)-inUse(before))/maxTunnels, "B/tunnel")
		for _, pr := range pairs {
			pr.reset()
		}
	}
}
