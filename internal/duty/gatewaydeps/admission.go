package gatewaydeps

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/completion"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/pauseclock"
)

// newAdmission returns what decides on prompts by predicted completion and promises return times; nil if the settings switch on neither.
func newAdmission(env *kernel.Env, ms *metrics.Set, pauses *pauseclock.Clock, reports *loadreport.Exchange) *dispatch.Admission {
	lc := env.Settings.Gateway.LoadControl
	if !lc.CompletionAdmission && !lc.ReturnTimes {
		return nil
	}
	op := dispatch.AdmissionOptions{
		CompletionAdmission: lc.CompletionAdmission, ReturnTimes: lc.ReturnTimes, Now: time.Now, Paused: pauses.Paused, Log: env.Logger("peers"),
		OnDecision: admissionReporter(env.Logger("dispatch"), ms),
		OnFirstToken: func(kd completion.Kind, ratio float64) {
			ms.GetOrCreateHistogram(fmt.Sprintf("silvermount_first_token_ratio{kind=%q}", kd)).Update(ratio)
		},
		OnReturn: func(outcome dispatch.ReturnOutcome) {
			ms.GetOrCreateCounter(fmt.Sprintf("silvermount_returns_total{outcome=%q}", outcome)).Inc()
		},
	}
	if lc.ReturnTimes {
		op.OnPromise = reports.Publish
	}
	ad := dispatch.NewAdmission(op)
	if lc.ReturnTimes {
		reports.Register(loadreport.KindReturnTimes, ad.ReportPart())
	}
	return ad
}

// admissionReporter returns a function that logs a decision on a prompt with its inputs, and counts refusals by reason.
func admissionReporter(lg log.Interface, ms *metrics.Set) func(dispatch.AdmissionDecision) {
	return func(dc dispatch.AdmissionDecision) {
		entry := lg.WithFields(admissionFields(dc))
		switch dc.Outcome {
		case completion.Refuse:
			ms.GetOrCreateCounter(fmt.Sprintf("silvermount_admission_refusals_total{kind=%q,reason=%q}", dc.Kind, dc.Reason)).Inc()
			entry.WithFields(log.Fields{
				"retry_after": dc.RetryAfter.Round(time.Millisecond).String(), "promised": dc.Promised, "in_bucket": dc.InBucket,
			}).Info("prompt refused by admission")
		case completion.Wait:
			entry.WithField("wait_bound", dc.WaitBound.Round(time.Millisecond).String()).Info("prompt waits for capacity")
		case completion.Place:
			entry.Info("prompt placed although late")
		}
	}
}

// admissionFields returns what a decision was based on.
func admissionFields(dc dispatch.AdmissionDecision) log.Fields {
	return log.Fields{
		"request": dc.Request, "service": dc.Service, "kind": dc.Kind.String(), "why": string(dc.Reason), "return": dc.Return.String(),
		"elapsed": dc.Elapsed.Round(time.Millisecond).String(), "predicted": dc.Predicted.Round(time.Millisecond).String(),
		"error_p50": fmt.Sprintf("%.2f", dc.Error.P50), "error_p90": fmt.Sprintf("%.2f", dc.Error.P90), "samples": dc.Error.Samples,
		"slots_in_use": dc.Fleet.SlotsInUse, "slots": dc.Fleet.Slots, "due": dc.Fleet.Due,
	}
}
