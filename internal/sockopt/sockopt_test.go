package sockopt_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/silvermount/silvermount/internal/sockopt"
)

func TestMaxProbes(t *testing.T) {
	tests := map[string]struct {
		liveness sockopt.Liveness
		want     int
	}{
		"gives up at the second probe time": {sockopt.Liveness{UserTimeout: 3 * time.Second, KeepAliveIdle: 2 * time.Second, KeepAliveInterval: time.Second}, 1},
		"between two probe times":           {sockopt.Liveness{UserTimeout: 3500 * time.Millisecond, KeepAliveIdle: time.Second, KeepAliveInterval: time.Second}, 3},
		"at a probe time":                   {sockopt.Liveness{UserTimeout: 4 * time.Second, KeepAliveIdle: time.Second, KeepAliveInterval: time.Second}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.liveness.MaxProbes()).To(Equal(tc.want))
		})
	}
}

// TestOptionsOfSockets reads the options back from a dialled and from an accepted connection.
func TestOptionsOfSockets(t *testing.T) {
	g := NewWithT(t)
	lv := sockopt.Liveness{UserTimeout: 3500 * time.Millisecond, KeepAliveIdle: 2 * time.Second, KeepAliveInterval: time.Second}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	dialled, err := lv.Dialer().Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer dialled.Close()
	accepted, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer accepted.Close()
	g.Expect(lv.Apply(accepted.(*net.TCPConn))).To(Succeed())
	for name, nc := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		g.Expect(option(g, nc, unix.TCP_USER_TIMEOUT)).To(Equal(3500), name)
		g.Expect(option(g, nc, unix.TCP_KEEPIDLE)).To(Equal(2), name)
		g.Expect(option(g, nc, unix.TCP_KEEPINTVL)).To(Equal(1), name)
	}
}

func option(g *WithT, nc net.Conn, name int) int {
	rc, err := nc.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	value := 0
	g.Expect(rc.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
	})).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
	return value
}
