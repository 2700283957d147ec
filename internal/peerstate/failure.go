package peerstate

import "strconv"

// VersionError says that a state was written in a form that is not known here.
type VersionError struct {
	// Version is the first byte of the state.
	Version byte
}

// Error names the version.
func (ve *VersionError) Error() string {
	return "unknown version " + strconv.Itoa(int(ve.Version)) + " of a state"
}

// MalformedError says that bytes hold no state.
type MalformedError struct{ Reason string }

// Error names the reason.
func (me *MalformedError) Error() string { return "malformed state: " + me.Reason }

// TooManyError says that a state tells of more targets than maxTargets.
type TooManyTargetsError struct {
	// Targets is the number of targets that it tells of.
	Targets uint64
}

// Error names the number.
func (te *TooManyTargetsError) Error() string {
	return "a state of " + strconv.FormatUint(te.Targets, 10) + " targets"
}
