package sighup_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/sighup"
)

// TestSIGHUPDuringStartIsIgnored sends SIGHUP to this process before any handler is registered. A second one, after a handler was
// registered, shows that the signals arrive.
func TestSIGHUPDuringStartIsIgnored(t *testing.T) {
	g := NewWithT(t)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	defer signal.Stop(received)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(received).Should(Receive())
	sighup.RestoreDefault()
}
