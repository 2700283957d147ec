package gatewaydeps

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/loadreport"
)

// newShares returns the shares of organisations, whose usage is exchanged with peers; nil if the settings do not enable them.
func newShares(env *kernel.Env, ms *metrics.Set, reports *loadreport.Exchange) *dispatch.Shares {
	if !env.Settings.Gateway.LoadControl.FairShares {
		return nil
	}
	refusals := ms.GetOrCreateCounter("silvermount_share_refusals_total")
	refusedTime := ms.GetOrCreateCounter("silvermount_share_refused_engine_ms_total")
	logRefusal := logShareRefusal(env.Logger("dispatch"))
	sh := dispatch.NewShares(time.Now, dispatch.WithSharePublish(reports.Publish), dispatch.WithOnShareRefusal(func(re dispatch.ShareRefusal) {
		refusals.Inc()
		refusedTime.Add(int(re.EngineTime.Milliseconds()))
		logRefusal(re)
	}))
	ms.NewGauge("silvermount_share_organisations", func() float64 { return float64(sh.OrganisationCount()) })
	lg := env.Logger("peers")
	reports.Register(loadreport.KindUsage, sh.Part(func(peer string, err error) {
		lg.WithField("peer", peer).WithError(err).Warn("cannot decode usage of organisations of peer")
	}))
	return sh
}

// logShareRefusal returns a function that logs a prompt that is refused because its organisation has used more than its share.
func logShareRefusal(lg log.Interface) func(dispatch.ShareRefusal) {
	return func(re dispatch.ShareRefusal) {
		lg.WithFields(log.Fields{
			"request": re.Request, "service": re.Service, "organisation": re.Organisation, "engine_time": round(re.EngineTime),
			"predicted_first": round(re.FirstToken), "load_age": round(re.LoadAge), "slots_used": re.SlotsUsed,
			"used": round(re.Standing.Used), "share": round(re.Standing.Share), "unmet": round(re.Standing.Unmet),
			"service_used": round(re.Standing.ServiceUsed), "organisations": re.Standing.Organisations, "usage_age": round(re.Standing.Age),
			"peers": re.Standing.Peers, "oldest_report": round(re.Standing.OldestReport), "again": round(re.Again),
		}).Info("refused: organisation above its share")
	}
}

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }
