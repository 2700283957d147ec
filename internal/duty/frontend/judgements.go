package frontend

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/jsonreply"
)

// judgements shows operators which requests are refused because targets end when they run them, and lifts that.
type quarantineAPI struct{ tracker *blame.Tracker }

// judgement is one of them as operators see it.
type quarantine struct {
	Fingerprint string `json:"fingerprint"`
	// Ends is how many targets had ended under the request.
	Crashes int `json:"ends"`
	// Level counts the judgements in a row, from 1.
	Level int `json:"level"`
	// Age is the time since it was judged, Left how long it is still refused; both are Go durations.
	Age       string `json:"age"`
	Remaining string `json:"left"`
}

func (qa quarantineAPI) list(w http.ResponseWriter, _ *http.Request) {
	list := []quarantine{}
	for _, jd := range qa.tracker.Quarantines() {
		list = append(list, quarantine{
			Fingerprint: jd.Request.String(), Crashes: jd.Crashes, Level: jd.Level,
			Age: time.Since(jd.Since).Round(time.Second).String(), Remaining: time.Until(jd.Until).Round(time.Second).String(),
		})
	}
	jsonreply.Write(w, list)
}

func (qa quarantineAPI) lift(w http.ResponseWriter, r *http.Request) {
	fp, err := fingerprint.Parse(chi.URLParam(r, "fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !qa.tracker.LiftQuarantine(fp) {
		http.Error(w, "no such judgement", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
