package gossip

// MalformedError says that a message could not be read or written.
type MalformedError struct{ Message string }

// Error names the message.
func (me *MalformedError) Error() string { return "malformed gossip message: " + me.Message }

// SelfError says that an address led back to this instance.
type SelfDialError struct{ Address string }

// Error names the address.
func (se *SelfDialError) Error() string { return "address " + se.Address + " is this instance" }

// MissingError says that a peer has no document of a name.
type NotFoundError struct{ Instance, Document string }

// Error names the peer and the document.
func (ne *NotFoundError) Error() string {
	return "instance " + ne.Instance + " has no document " + ne.Document
}

// LinkError says that the link to an instance could not be used.
type LinkError struct{ Instance, Reason string }

// Error names the instance and the reason.
func (le *LinkError) Error() string { return "link to instance " + le.Instance + " " + le.Reason }

// dialError says that an address could not be reached.
type dialError struct{ cause error }

// Error names the cause.
func (de *dialError) Error() string { return de.cause.Error() }

// Unwrap returns the cause.
func (de *dialError) Unwrap() error { return de.cause }
