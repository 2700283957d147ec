package facts

import (
	"time"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// rewriteFor is how long after the store came back from an older copy its operators and targets take to write again what they had
// written since: as long as for entries that lapsed while the store was away.
const rewriteFor = targets.LapseGrace

// known returns where in its history the store was by what this instance knows of targets, from whomever.
func (rd *reader) known() position.Position {
	at, _ := rd.dr.ListPosition()
	return at
}

// rewritten notes a change of the configuration, told by an answer to a question asked at a time. Since the store came back from an older
// copy, it is what the operators wrote again, unless the question was sent before: its answer may be of the history that is gone.
func (rd *reader) rewritten(it objectstore.Object, evidence time.Time) {
	era, returned := rd.dr.StoreRestoredAt()
	if it.Name == rd.ad.ConfigurationName && len(it.Value) > 0 && !evidence.Before(returned) {
		rd.rewrittenEra = era
	}
}

// proof returns the time at which the store's configuration was the newest, by an answer to a question asked at a time; zero when the
// answer proves nothing. A store that came back from an older copy may lack a configuration that was acknowledged, and with it a key
// that was taken away, until the operators have written again. The proof from before goes on to age meanwhile.
func (rd *reader) proof(evidence time.Time) time.Time {
	era, returned := rd.dr.StoreRestoredAt()
	if rd.rewrittenEra < era && evidence.Before(returned.Add(rewriteFor)) {
		return time.Time{}
	}
	return evidence
}

// provable returns the time of the newest proof, or when there can be one again: until then, a question to the store brings none.
func (rd *reader) provable(provenAt time.Time) time.Time {
	_, returned := rd.dr.StoreRestoredAt()
	if again := returned.Add(rewriteFor); !returned.IsZero() && provenAt.Before(again) {
		return again
	}
	return provenAt
}
