package members

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

// targetList is the list of targets that peers get.
type targetList struct {
	// Version is the number of the position at which the list last changed.
	Version int64            `json:"Version"`
	Targets []targets.Target `json:"Targets"`
	// Lapsed are missing from the list and still take work.
	Lapsed targets.Lapsed `json:"Lapsed"`
}

func (du *duty) targetsDocument(name string) ([]byte, error) {
	var tl targetList
	at, list := du.dr.Listed()
	tl.Version, tl.Targets = at.Pack(), list
	tl.Lapsed = du.dr.Lapsed()
	if name == nameDocument {
		tl.Targets = withoutIncarnations(tl.Targets)
		tl.Lapsed.Targets = withoutIncarnations(tl.Lapsed.Targets)
	}
	b, err := json.Marshal(tl)
	if err != nil {
		return nil, errors.Wrap(err, "encode list of targets")
	}
	return pack(b)
}

// withoutIncarnations returns targets as an instance of the build before takes them, which names each to itself by its ID.
func withoutIncarnations(tgs []targets.Target) []targets.Target {
	named := slices.Clone(tgs)
	for i := range named {
		named[i].ID, named[i].Name, named[i].StartedAt = named[i].NameOrID(), "", time.Time{}
	}
	return named
}

// fetchTargets asks a peer for a newer list of targets.
func (du *duty) fetchTargets(ctx context.Context, nw newer) {
	if mine, _ := du.dr.ListPosition(); !nw.at.After(mine) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	lg := du.lg.WithField("peer", nw.from.Name).WithField("era", nw.at.Era).WithField("version", nw.at.Revision)
	doc, err := du.document(ctx, nw.from, targetsDocument)
	if err != nil {
		lg.WithError(err).Warn("newer list of targets not fetched")
		return
	}
	doc, err = unpack(doc)
	if err != nil {
		lg.WithError(err).Error("peer's list of targets cannot be read")
		return
	}
	var tl targetList
	if err := json.Unmarshal(doc, &tl); err != nil {
		lg.WithError(err).Error("peer's list of targets cannot be read")
		return
	}
	at := position.Unpack(tl.Version)
	mine, _ := du.dr.ListPosition()
	if nw.at.After(at) || !at.After(mine) {
		// Meanwhile the store told more.
		return
	}
	if at.RestoredSince(mine) {
		lg.Warn("store came back from an older copy, as a peer tells")
		du.dr.RecordStoreRestore(at.Era, nw.evidence)
	}
	du.tellTargets(lg, du.dr.ApplyPeerList(tl.Targets, tl.Lapsed, at, nw.evidence), nw.evidence)
}

// tellTargets logs what a peer's word of a time changed.
func (du *duty) tellTargets(lg log.Interface, changes []targets.Change, evidence time.Time) {
	for _, ch := range changes {
		lg.WithFields(log.Fields{
			"target": ch.Target.ID, "service": ch.Target.Service, "address": ch.Target.Address, "source": "peer",
			"age": time.Since(evidence).Round(time.Millisecond).String(),
		}).Info("target " + ch.Kind)
	}
}
