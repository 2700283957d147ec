package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// record is a quarantine as it is kept in the store, with times of day.
type record struct {
	Members      []string  `json:"members"`
	Crashes      int       `json:"ends"`
	Level        int       `json:"level"`
	EvidenceFrom time.Time `json:"evidence_from"`
	Since        time.Time `json:"since"`
	Until        time.Time `json:"until"`
}

// MalformedRecordError means that a record of a quarantine cannot be used.
type MalformedRecordError struct{ Reason string }

// Error includes the reason.
func (me *MalformedRecordError) Error() string { return "malformed quarantine record: " + me.Reason }

// RecordName returns the name of the object in which a quarantine is kept.
func (qu Quarantine) RecordName() string {
	id := qu.ID()
	return id.Kind.String() + "-" + hex.EncodeToString(id.Digest[:])
}

// EncodeRecord returns the value of that object.
func (qu Quarantine) EncodeRecord() (json.RawMessage, error) {
	rc := record{
		Crashes: qu.Crashes, Level: qu.Level, EvidenceFrom: qu.EvidenceFrom.UTC(), Since: qu.Since.UTC(), Until: qu.Until.UTC(),
	}
	for _, fp := range qu.Members {
		rc.Members = append(rc.Members, fp.String())
	}
	b, err := json.Marshal(rc)
	return b, errors.Wrap(err, "encode quarantine record")
}

// DecodeRecord reads the output of EncodeRecord. now is the present time, whose monotonic reading the times get.
func DecodeRecord(b []byte, now time.Time) (Quarantine, error) {
	var rc record
	if err := json.Unmarshal(b, &rc); err != nil {
		return Quarantine{}, errors.Wrap(err, "decode quarantine record")
	}
	monotonic := func(at time.Time) time.Time { return now.Add(at.Sub(now.Round(0))) }
	qu := Quarantine{
		Crashes: rc.Crashes, Level: rc.Level, EvidenceFrom: monotonic(rc.EvidenceFrom), Since: monotonic(rc.Since), Until: monotonic(rc.Until),
	}
	for _, text := range rc.Members {
		fp, err := fingerprint.Parse(text)
		if err != nil {
			return Quarantine{}, errors.Wrap(err, "decode quarantine record")
		}
		qu.Members = append(qu.Members, fp)
	}
	if len(qu.Members) == 0 || !slices.IsSortedFunc(qu.Members, fingerprint.Fingerprint.Compare) || qu.Level < 1 {
		return Quarantine{}, errors.Wrap(&MalformedRecordError{Reason: string(b)}, "decode quarantine record")
	}
	return qu, nil
}
