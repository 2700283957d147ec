package peersync

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
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

// targetChangesQuery is the name of the gossip query for the changes of the list of targets since a position.
const targetChangesQuery = "target changes"

// targetChanges are changes of the list of targets as they are sent to peers.
type targetChanges struct {
	// Since and Version are the packed positions between which the list changed.
	Since   int64            `json:"Since"`
	Version int64            `json:"Version"`
	Changed []targets.Target `json:"Changed"`
	Removed []string         `json:"Removed"`
	// Lapsed holds targets that are missing from the list and still take work.
	Lapsed targets.Lapsed `json:"Lapsed"`
}

// answerTargetChanges returns the encoded changes since the position that a query names. It reports false if they are not known; the peer
// then fetches the whole list.
func (du *duty) answerTargetChanges(query []byte) ([]byte, bool) {
	since, err := strconv.ParseInt(string(query), 10, 64)
	if err != nil {
		du.lg.WithError(err).Error("cannot decode query of peer for changes of targets")
		return nil, false
	}
	pc, known := du.dr.ChangesSince(position.Unpack(since))
	if !known {
		return nil, false
	}
	b, err := json.Marshal(targetChanges{
		Since: since, Version: pc.At.Pack(), Changed: pc.Changed, Removed: pc.Removed, Lapsed: du.dr.Lapsed(),
	})
	if err != nil {
		du.lg.WithError(err).Error("cannot encode changes of targets for peers")
	}
	return b, err == nil
}

// updateTargets gets the changes of the list of targets from a peer that reported a newer one, and applies them. It reports false if
// that did not succeed: the peer may not know the changes since this instance's list, or be of a build that does not send them.
func (du *duty) updateTargets(ctx context.Context, lg log.Interface, fr fetchRequest) bool {
	own, _ := du.dr.ListPosition()
	if own.IsZero() || own.Era != fr.at.Era {
		return false
	}
	b, err := du.queryPeer(ctx, fr.from, targetChangesQuery, strconv.AppendInt(nil, own.Pack(), 10))
	if err != nil {
		lg.WithError(err).Debug("no changes of targets from peer")
		return false
	}
	var tc targetChanges
	if err := json.Unmarshal(b, &tc); err != nil {
		lg.WithError(err).Error("cannot decode changes of targets from peer")
		return false
	}
	pc := targets.PeerChanges{Since: position.Unpack(tc.Since), At: position.Unpack(tc.Version), Changed: tc.Changed, Removed: tc.Removed}
	if fr.at.After(pc.At) {
		return false
	}
	du.logTargetChanges(lg, du.dr.ApplyPeerChanges(pc, tc.Lapsed, fr.asOf), fr.asOf)
	return true
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
	if du.updateTargets(ctx, lg, fr) {
		return
	}
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
		fs := log.Fields{
			"target": ch.Target.ID, "service": ch.Target.Service, "address": ch.Target.Address, "source": "peer",
			"age": time.Since(asOf).Round(time.Millisecond).String(),
		}
		if ch.Grace > 0 {
			fs["grace"] = ch.Grace.Round(time.Millisecond).String()
		}
		lg.WithFields(fs).Info("target " + ch.Kind)
	}
}
