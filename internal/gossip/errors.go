package gossip

// MalformedError is returned for a message that cannot be decoded or encoded.
type MalformedError struct{ Message string }

// Error implements error.
func (me *MalformedError) Error() string { return "malformed gossip message: " + me.Message }

// SelfDialError is returned when a dialled address leads back to this instance.
type SelfDialError struct{ Address string }

// Error implements error.
func (se *SelfDialError) Error() string {
	return "address " + se.Address + " leads back to this instance"
}

// NotFoundError is returned when a peer serves no document or query of the given name.
type NotFoundError struct{ Instance, Document string }

// Error implements error.
func (ne *NotFoundError) Error() string {
	return "instance " + ne.Instance + " serves no document or query " + ne.Document
}

// LinkError is returned for a request over a link that cannot be used.
type LinkError struct{ Instance, Reason string }

// Error implements error.
func (le *LinkError) Error() string { return "link to instance " + le.Instance + " " + le.Reason }

// dialError is returned when a peer's address cannot be dialled.
type dialError struct{ cause error }

// Error implements error.
func (de *dialError) Error() string { return de.cause.Error() }

// Unwrap returns the cause of the failure.
func (de *dialError) Unwrap() error { return de.cause }
