package quarantine

import (
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// InterruptedRun is a run of a request that its target interrupted: it sent no answer, or an incomplete one.
type InterruptedRun struct {
	// Fingerprints are those of the request.
	Fingerprints []fingerprint.Fingerprint
	// Incarnation identifies the process of the target that ran the request.
	Incarnation string
	// Elapsed is how long the target had run the request: since the head of its answer, or since the request was sent if no head
	// came.
	Elapsed time.Duration
	// Answering is set if the head of the answer had come. Otherwise the request may have waited at the target.
	Answering bool
	// At is when the run was interrupted.
	At time.Time
}

// Evidence is an interrupted run with one fingerprint whose target crashed.
type Evidence struct {
	Fingerprint fingerprint.Fingerprint
	// Run is equal for all fingerprints of one run, and random. It is zero if it is not known.
	Run uint32
	// Incarnation, Elapsed, Answering and At are those of the run.
	Incarnation string
	Elapsed     time.Duration
	Answering   bool
	At          time.Time
}

// telling returns that of two runs with the same fingerprint on the same crashed target which tells more about the fingerprint. A
// target that had answered one of them for long was not crashed by what they have in common. How long a run without an answer waited
// is not known, so that the shorter one tells more.
func (ev Evidence) telling(other Evidence) Evidence {
	otherTellsMore := other.Elapsed < ev.Elapsed
	switch {
	case ev.Answering != other.Answering:
		otherTellsMore = other.Answering
	case ev.Answering:
		otherTellsMore = other.Elapsed > ev.Elapsed
	}
	if otherTellsMore {
		return other
	}
	return ev
}

// crash is the crash of one incarnation of a target.
type crash struct {
	at time.Time
	// learnedAt is when a peer told of the crash; zero if this instance saw it first.
	learnedAt time.Time
	// runs holds the most telling run that the crash interrupted for each fingerprint, at most maxRunsPerCrash.
	runs map[fingerprint.Fingerprint]Evidence
	// explainedBy holds the IDs of the quarantines that explain the crash, as of the revision explainedAt of the quarantines.
	explainedBy []fingerprint.Fingerprint
	explainedAt int
}

// settlesFrom returns when this instance and its peers began to exchange what they know of the crash.
func (cr *crash) settlesFrom() time.Time { return laterOf(cr.at, cr.learnedAt) }

// requestOf returns the whole request of a run, if it is known.
func (cr *crash) requestOf(ev Evidence) (whole fingerprint.Fingerprint, known bool) {
	for fp, other := range cr.runs {
		if fp.Kind == fingerprint.WholeRequest && other.Run == ev.Run && ev.Run != 0 {
			return fp, true
		}
	}
	return fingerprint.Fingerprint{}, false
}

// setRun records the run that tells most about a fingerprint.
func (cr *crash) setRun(ev Evidence) {
	cr.runs[ev.Fingerprint] = ev
	cr.explainedAt = 0
}

// removeRun removes the run with a fingerprint.
func (cr *crash) removeRun(fp fingerprint.Fingerprint) {
	delete(cr.runs, fp)
	cr.explainedAt = 0
}
