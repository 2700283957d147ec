package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// count adds one to a counter.
func (sv *Server) count(name string) { sv.Metrics.GetOrCreateCounter("silvermount_" + name).Inc() }

func (sv *Server) countError(err error) {
	fe := failure.FromError(err)
	sv.count(fmt.Sprintf("errors_total{code=%q,outcome=%q}", fe.Code, fe.Outcome))
}

// account counts a request against its class's objective. A caller that went away is no miss.
func (sv *Server) account(rq *request, err error) {
	sv.count(fmt.Sprintf("requests_total{class=%q}", rq.class.Name))
	if err != nil && failure.FromError(err).Code == failure.CallerGone {
		return
	}
	took := time.Since(rq.arrived)
	if !rq.firstAt.IsZero() {
		took = rq.firstAt.Sub(rq.arrived)
	}
	sv.Metrics.GetOrCreateHistogram(fmt.Sprintf("silvermount_first_token_seconds{class=%q}", rq.class.Name)).Update(took.Seconds())
	missed := err != nil || took > rq.class.Objective.FirstToken.Std()
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

// models lists the models that the caller may use.
func (sv *Server) models(w http.ResponseWriter, r *http.Request) {
	sk := newSink(w)
	rq, err := sv.open(r)
	if err != nil {
		sk.fail(err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range rq.inForce.Models {
		if rq.inForce.MayUse(rq.org, m.Name) {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
		}
	}
	sk.json(list)
}

// json answers with a document.
func (sk *sink) json(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		sk.fail(err)
		return
	}
	sk.start(http.StatusOK, "application/json")
	// The caller may be gone; nothing more can be done for it.
	_ = sk.pass(b, false)
}
