package storesync

import (
	"time"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// rewritePeriod is how long operators and targets take to write lost changes again after the store was restored from an older copy.
// It is the same as for entries that lapsed while the store was unavailable.
const rewritePeriod = targets.LapseGrace

// knownPosition returns the position of the store at the last change of the list of targets, as learned from the store or from peers.
func (sy *syncer) knownPosition() position.Position {
	at, _ := sy.dr.ListPosition()
	return at
}

// recordRewrite records a change of the configuration in the response to a request sent at asOf. After a restore from an older copy
// the change is one that operators have written again, unless the request was sent before: the response may then be from the previous
// era.
func (sy *syncer) recordRewrite(it objectstore.Object, asOf time.Time) {
	era, restoredAt := sy.dr.StoreRestoredAt()
	if it.Name == sy.ad.ConfigurationName && len(it.Value) > 0 && !asOf.Before(restoredAt) {
		sy.rewrittenEra = era
	}
}

// proofTime returns the time as of which a response to a request sent at asOf proves that the configuration in the store is the
// newest, or zero if it proves nothing. A store that was restored from an older copy may lack an acknowledged configuration, such
// as one that revoked a key, until the operators have written it again. Meanwhile the last proof from before the restore keeps
// ageing.
func (sy *syncer) proofTime(asOf time.Time) time.Time {
	era, restoredAt := sy.dr.StoreRestoredAt()
	if sy.rewrittenEra < era && asOf.Before(restoredAt.Add(rewritePeriod)) {
		return time.Time{}
	}
	return asOf
}

// proofAgeStart returns the time from which the age of the proof counts when deciding whether to call the store. This is the time
// of the newest proof, or after a restore the end of the rewrite period: until then a call to the store yields no proof.
func (sy *syncer) proofAgeStart(provenAt time.Time) time.Time {
	_, restoredAt := sy.dr.StoreRestoredAt()
	if periodEnd := restoredAt.Add(rewritePeriod); !restoredAt.IsZero() && provenAt.Before(periodEnd) {
		return periodEnd
	}
	return provenAt
}
