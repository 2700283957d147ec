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

// lines is a writer that may be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends.
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

// generous bounds each wait; it is long so that a busy machine passes.
const waitTimeout = 30 * time.Second

// TestHangUpReloadsSettings runs an instance and sends this process the signals.
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
	put := func(s config.Settings) {
		b, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(file, b, 0o600)).To(Succeed())
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	}
	var out, errOut syncBuffer
	ended := make(chan int, 1)
	go func() { ended <- Main([]string{"entry", "--settings", file}, &out, &errOut) }()
	// Signals are sent only to an instance that has started: before, they would end the tests.
	g.Eventually(out.text, waitTimeout).Should(ContainSubstring("started"))
	gw.MaxBodyBytes = -1
	put(s)
	g.Eventually(out.text, waitTimeout).Should(ContainSubstring("settings not reloaded; the present ones stay in force"))
	g.Expect(out.text()).To(ContainSubstring("gateway.max_body_bytes"))
	g.Expect(out.text()).To(MatchRegexp(`settings not reloaded.* instance=` + s.Instance + `\s`))
	g.Expect(out.text()).NotTo(ContainSubstring("settings reloaded"))
	gw.MaxBodyBytes = 1 << 20
	put(s)
	g.Eventually(out.text, waitTimeout).Should(MatchRegexp(`settings reloaded.*changed=gateway.max_body_bytes`))
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(ended, waitTimeout).Should(Receive(Equal(exitOK)), errOut.text())
}
