package hangup_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/hangup"
)

// TestHangUpBeforeTheStart sends this process a hang-up that nobody has asked for, and a second one to see that it came.
func TestHangUpBeforeTheStart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	seen := make(chan os.Signal, 1)
	signal.Notify(seen, syscall.SIGHUP)
	defer signal.Stop(seen)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(seen).Should(Receive())
	hangup.RestoreDefault()
}
