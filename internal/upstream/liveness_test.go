package upstream

import (
	"testing"
	"time"
)

// TestSilentSecondKeepsConnection checks that a connection on which a request waits survives a target that answers nothing for up to two
// seconds, at whatever moment the silence begins.
func TestSilentSecondKeepsConnection(t *testing.T) {
	const silence = 2 * time.Second
	// Within the silence fall at most this many probes.
	unanswered := int(silence / Liveness.KeepAliveInterval)
	if got := Liveness.MaxProbes(); got <= unanswered {
		t.Errorf("the kernel gives up after %d unanswered probes, and %s of silence leave %d unanswered", got, silence, unanswered)
	}
}
