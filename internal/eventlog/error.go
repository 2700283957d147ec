package eventlog

import "strconv"

// NotDrainedError means that lines were still queued when the context of Close ended.
type NotDrainedError struct {
	// Lines is the number of queued lines, without those of the batch being written.
	Lines int
	// Cause is the error of the context.
	Cause error
}

// Error includes the number of queued lines.
func (nd *NotDrainedError) Error() string {
	return strconv.Itoa(nd.Lines) + " log lines still queued at close: " + nd.Cause.Error()
}

// Unwrap returns the cause.
func (nd *NotDrainedError) Unwrap() error { return nd.Cause }

// WriteError means that the writer failed.
type WriteError struct {
	// Lines is the number of lines lost over the life of the sink.
	Lines int
	// Cause is the first error of the writer.
	Cause error
}

// Error includes the number of lost lines and the first error of the writer.
func (we *WriteError) Error() string {
	return strconv.Itoa(we.Lines) + " log lines lost in failed writes: " + we.Cause.Error()
}

// Unwrap returns the first error of the writer.
func (we *WriteError) Unwrap() error { return we.Cause }
