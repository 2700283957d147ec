package gatewaydeps

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/loadreport"
)

// TestSharesAreOffUnlessEnabled guards against shares that decide, or send reports, without the setting, and against a setting without effect.
func TestSharesAreOffUnlessEnabled(t *testing.T) {
	for name, enabled := range map[string]bool{"off": false, "on": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lg := &log.Logger{Handler: memory.New()}
			env := &kernel.Env{Settings: validSettings(), Log: lg}
			env.Settings.Gateway.LoadControl.FairShares = enabled
			reports := loadreport.New(time.Now, lg, nil)
			g.Expect(newShares(env, metrics.NewSet(), reports) != nil).To(Equal(enabled))
			g.Expect(reports.Encode() != nil).To(Equal(enabled))
		})
	}
}

// TestShareRefusalIsLoggedWithItsInputs guards against a refusal that cannot be explained from the log.
func TestShareRefusalIsLoggedWithItsInputs(t *testing.T) {
	g := NewWithT(t)
	handler := memory.New()
	logShareRefusal(&log.Logger{Handler: handler})(dispatch.ShareRefusal{Request: "r", Service: "s", Organisation: "o", EngineTime: time.Second, Again: 2 * time.Second})
	g.Expect(handler.Entries).To(HaveLen(1))
	g.Expect(handler.Entries[0].Message).To(Equal("refused: organisation above its share"))
	for _, name := range []string{
		"request", "service", "organisation", "engine_time", "predicted_first", "load_age", "slots_used", "used", "share", "unmet", "service_used",
		"organisations", "usage_age", "peers", "oldest_report", "again",
	} {
		g.Expect(handler.Entries[0].Fields).To(HaveKey(name))
	}
}
