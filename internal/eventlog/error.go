package eventlog

import "strconv"

// NotDrainedError says that lines still waited when the time to close was over.
type NotDrainedError struct {
	// Lines is how many lines waited; those of the batch being written come on top.
	Lines int
	// Cause is why the wait ended.
	Cause error
}

// Error gives the number of lines.
func (nd *NotDrainedError) Error() string {
	return strconv.Itoa(nd.Lines) + " log lines not written: " + nd.Cause.Error()
}

// Unwrap returns the cause.
func (nd *NotDrainedError) Unwrap() error { return nd.Cause }

// WriteError says that the writer failed.
type WriteError struct {
	// Lines is how many lines were lost over the life of the sink.
	Lines int
	// Cause is the first failure.
	Cause error
}

// Error gives the number of lines and the first failure.
func (we *WriteError) Error() string {
	return strconv.Itoa(we.Lines) + " log lines lost in writing: " + we.Cause.Error()
}

// Unwrap returns the first failure.
func (we *WriteError) Unwrap() error { return we.Cause }
