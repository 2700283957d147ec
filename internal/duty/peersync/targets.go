package peersync

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// targetList is the list of targets as it is sent to peers.
type targetList struct {
	// Version is the packed position of the store at the last change of the list.
	Version int64            `json:"Version"`
	Targets []targets.Target `json:"Targets"`
	// Lapsed holds targets that are missing from the list and still take work.
	Lapsed targets.Lapsed `json:"Lapsed"`
}

// encodeTargets returns the compressed list of targets as the legacy document.
func (du *duty) encodeTargets(name string) ([]byte, error) {
	var tl targetList
	at, list := du.dr.Listed()
	tl.Version, tl.Targets = at.Pack(), list
	tl.Lapsed = du.dr.Lapsed()
	if name == legacyTargetsDocument {
		tl.Targets = withoutIncarnations(tl.Targets)
		tl.Lapsed.Targets = withoutIncarnations(tl.Lapsed.Targets)
	}
	b, err := json.Marshal(tl)
	if err != nil {
		return nil, errors.Wrap(err, "encode list of targets")
	}
	return compress(b)
}

// withoutIncarnations returns targets in the form that instances of the previous build expect, which address a target by its ID.
// The ID is therefore replaced by the name that the target itself uses.
func withoutIncarnations(tgs []targets.Target) []targets.Target {
	legacy := slices.Clone(tgs)
	for i := range legacy {
		legacy[i].ID, legacy[i].Name, legacy[i].StartedAt = legacy[i].NameOrID(), "", time.Time{}
	}
	return legacy
}

// fetchTargets fetches a newer list of targets from a peer.
func (du *duty) fetchTargets(ctx context.Context, fr fetchRequest) {
	if own, _ := du.dr.ListPosition(); !fr.at.After(own) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	lg := du.lg.WithField("peer", fr.from.Name).WithField("era", fr.at.Era).WithField("version", fr.at.Revision)
	doc, err := du.fetchDocument(ctx, fr.from, targetsDocument)
	if err != nil {
		lg.WithError(err).Warn("cannot fetch newer list of targets from peer")
		return
	}
	doc, err = decompress(doc)
	if err != nil {
		lg.WithError(err).Error("cannot decompress list of targets from peer")
		return
	}
	var tl targetList
	if err := json.Unmarshal(doc, &tl); err != nil {
		lg.WithError(err).Error("cannot decode list of targets from peer")
		return
	}
	at := position.Unpack(tl.Version)
	own, _ := du.dr.ListPosition()
	if fr.at.After(at) || !at.After(own) {
		// The peer served an older list than it reported, or this instance has got a newer one meanwhile.
		return
	}
	if at.RestoredSince(own) {
		lg.Warn("store was restored from an older copy, as reported by peer")
		du.dr.RecordStoreRestore(at.Era, fr.asOf)
	}
	du.logTargetChanges(lg, du.dr.ApplyPeerList(tl.Targets, tl.Lapsed, at, fr.asOf), fr.asOf)
}

// logTargetChanges logs changes of targets that result from the state of a peer.
func (du *duty) logTargetChanges(lg log.Interface, changes []targets.Change, asOf time.Time) {
	for _, ch := range changes {
		lg.WithFields(log.Fields{
			"target": ch.Target.ID, "service": ch.Target.Service, "address": ch.Target.Address, "source": "peer",
			"age": time.Since(asOf).Round(time.Millisecond).String(),
		}).Info("target " + ch.Kind)
	}
}
