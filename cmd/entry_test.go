package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
)

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (sb *syncBuffer) Write(b []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(b)
}

func (sb *syncBuffer) text() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.String()
}

// waitTimeout limits each wait. It is long, so that the test also passes on a busy machine.
const waitTimeout = 30 * time.Second

// TestHangUpSignalReloadsSettings runs an instance in this process and sends signals to the process.
func TestHangUpSignalReloadsSettings(t *testing.T) {
	g := NewWithT(t)
	s := gatewayTemplate()
	gw := *s.Gateway
	s.Gateway = &gw
	for _, address := range []*string{&gw.Callers, &gw.Readiness, &gw.Peers, &gw.Metrics} {
		*address = "127.0.0.1:0"
	}
	gw.Store, gw.Grace = "127.0.0.1:1", config.Duration(time.Second)
	file := writeJSON(t, "settings.json", s)
	writeAndReload := func(s config.Settings) {
		b, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(file, b, 0o600)).To(Succeed())
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	}
	var out, errOut syncBuffer
	exitCode := make(chan int, 1)
	go func() { exitCode <- Main([]string{"entry", "--settings", file}, &out, &errOut) }()
	// Signals are sent only after the instance has started. Before that, they would end the test process.
	g.Eventually(out.text, waitTimeout).Should(ContainSubstring("started"))
	gw.MaxBodyBytes = -1
	writeAndReload(s)
	g.Eventually(out.text, waitTimeout).Should(ContainSubstring("settings not reloaded; the previous settings stay in force"))
	g.Expect(out.text()).To(ContainSubstring("gateway.max_body_bytes"))
	g.Expect(out.text()).To(MatchRegexp(`settings not reloaded.* instance=` + s.Instance + `\s`))
	g.Expect(out.text()).NotTo(ContainSubstring("settings reloaded"))
	gw.MaxBodyBytes = 1 << 20
	writeAndReload(s)
	g.Eventually(out.text, waitTimeout).Should(MatchRegexp(`settings reloaded.*changed=gateway.max_body_bytes`))
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(exitCode, waitTimeout).Should(Receive(Equal(exitOK)), errOut.text())
}
