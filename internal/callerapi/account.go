package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// incCounter increments the counter of the given name, which it prefixes with "silvermount_".
func (sv *Server) incCounter(name string) { sv.Metrics.GetOrCreateCounter("silvermount_" + name).Inc() }

func (sv *Server) countError(err error) {
	fe := failure.FromError(err)
	sv.incCounter(fmt.Sprintf("errors_total{code=%q,outcome=%q}", fe.Code, fe.Outcome))
}

// lostCallerCodes are the failures that are the caller's doing.
var lostCallerCodes = []failure.Code{failure.CallerGone, failure.WriteTimeout}

// recordObjective counts a request and records whether it met the latency objective of its class. Requests whose caller went
// away or did not take the response are counted, but not recorded against the objective: they are no miss.
func (sv *Server) recordObjective(rq *request, err error) {
	sv.incCounter(fmt.Sprintf("requests_total{class=%q}", rq.class.Name))
	if err != nil && slices.Contains(lostCallerCodes, failure.FromError(err).Code) {
		return
	}
	latency := time.Since(rq.arrived)
	if !rq.firstTokenAt.IsZero() {
		latency = rq.firstTokenAt.Sub(rq.arrived)
	}
	sv.Metrics.GetOrCreateHistogram(fmt.Sprintf("silvermount_first_token_seconds{class=%q}", rq.class.Name)).Update(latency.Seconds())
	missed := err != nil || latency > rq.class.Objective.FirstToken.Std()
	sv.Burn.Add(rq.class.Name, missed)
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels responds with the list of the models that the caller may use.
func (sv *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	sk := newSink(w)
	rq, err := sv.newRequest(r)
	if err != nil {
		sk.writeError(err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range rq.inForce.Models {
		if rq.inForce.MayUse(rq.org, m.Name) {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
		}
	}
	sk.writeJSON(list)
}

// writeJSON responds with v as a JSON document.
func (sk *sink) writeJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		sk.writeError(err)
		return
	}
	sk.start(http.StatusOK, "application/json")
	// A write error means that the caller is gone; there is nobody left to notify.
	_ = sk.writeBody(b, false)
}
