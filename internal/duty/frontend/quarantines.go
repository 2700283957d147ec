package frontend

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/jsonreply"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// quarantineAPI lets operators list and lift quarantines, under which requests are refused because targets crash when they run what
// these requests have in common.
type quarantineAPI struct{ tracker *quarantine.Tracker }

// quarantineRecord is a quarantine in the operators' list.
type quarantineRecord struct {
	// Fingerprint identifies the quarantine.
	Fingerprint string `json:"fingerprint"`
	// Kind is what it identifies, such as a whole request or a part of prompts, and Members what a request must have to be refused.
	Kind    string   `json:"kind"`
	Members []string `json:"members"`
	// Crashes is the number of targets that had crashed under such requests when they were quarantined.
	Crashes int `json:"ends"`
	// Level is the number of consecutive quarantines of the same members, from 1.
	Level int `json:"level"`
	// Age is the time since the start of the quarantine, and Remaining the time for which all such requests are still refused. Both
	// are formatted as Go durations.
	Age       string `json:"age"`
	Remaining string `json:"left"`
}

func (qa quarantineAPI) list(w http.ResponseWriter, _ *http.Request) {
	list := []quarantineRecord{}
	for _, qu := range qa.tracker.Quarantines() {
		list = append(list, quarantineRecord{
			Fingerprint: qu.ID().String(), Kind: qu.ID().Kind.String(), Members: memberNames(qu), Crashes: qu.Crashes, Level: qu.Level,
			Age: time.Since(qu.Since).Round(time.Second).String(), Remaining: time.Until(qu.Until).Round(time.Second).String(),
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

func memberNames(qu quarantine.Quarantine) []string {
	names := make([]string, len(qu.Members))
	for i, fp := range qu.Members {
		names[i] = fp.String()
	}
	return names
}
