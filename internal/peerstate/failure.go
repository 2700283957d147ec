package peerstate

import "strconv"

// VersionError reports a state in a version of the format that this build does not support.
type VersionError struct {
	// Version is the first byte of the state.
	Version byte
}

func (ve *VersionError) Error() string {
	return "peer state version " + strconv.Itoa(int(ve.Version)) + " is not supported"
}

// MalformedError reports bytes that do not encode a state.
type MalformedError struct{ Reason string }

func (me *MalformedError) Error() string { return "malformed peer state: " + me.Reason }

// TooManyTargetsError reports a state with more than maxTargets targets.
type TooManyTargetsError struct {
	// Targets is the number of targets in the state.
	Targets uint64
}

func (te *TooManyTargetsError) Error() string {
	return "peer state of " + strconv.FormatUint(te.Targets, 10) + " targets exceeds the maximum"
}
