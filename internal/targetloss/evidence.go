// Package targetloss collects evidence that targets are lost, and decides when it is certain. A target that this instance alone does not
// reach is not lost, and a pause of this process is no evidence.
package targetloss

import (
	"strconv"
	"time"
)

// Kind is the kind of certain evidence; it is written to logs and metrics.
type Kind string

// The kinds.
const (
	// Unanswered means that several orders in a row got no answer.
	Unanswered Kind = "unanswered_orders"
	// Unreachable means that neither this instance nor a peer could connect.
	Unreachable Kind = "unreachable"
	// Refused means that connections of this instance and of a peer were refused: the process has ended or closed its listener.
	Refused Kind = "refused"
	// Superseded means that a later incarnation with the same name is listed.
	Superseded Kind = "superseded"
	// AddressTaken means that another incarnation answered at the address.
	AddressTaken Kind = "address_taken"
)

// Evidence is certain evidence that an incarnation of a target is lost.
type Evidence struct {
	// Target is the incarnation.
	Target string
	Kind   Kind
	// Since is when the target was first found silent or gone, At when the evidence became certain. Since is not after At.
	Since, At time.Time
	// FirstOrderAt is when the first of the orders without an answer was sent; zero if there is none. It may be after Since.
	FirstOrderAt time.Time
	// Orders is the number of orders without an answer.
	Orders int
	// ByDial is set if the evidence became certain by the dial of a request, which is recorded against the target by itself.
	ByDial bool
}

// Final reports whether the process of the incarnation has ended, so that no answer can come from it any more. Refused connections do not
// show this: a process that drains closes its listener first.
func (ev Evidence) Final() bool {
	return ev.Kind == Superseded || ev.Kind == AddressTaken
}

// String names the kind and the number of unanswered orders.
func (ev Evidence) String() string {
	if ev.Orders == 0 {
		return string(ev.Kind)
	}
	return string(ev.Kind) + ", orders without an answer: " + strconv.Itoa(ev.Orders)
}

// Finding is the result of an examination: an attempt to connect to a target, directly and, if that fails, through peers.
type Finding int

// The findings. FoundNothing is the zero value.
const (
	// FoundNothing tells nothing: peers could not tell, this instance is isolated, or the process was paused.
	FoundNothing Finding = iota
	// FoundConnected means that the target accepted a direct connection.
	FoundConnected
	// FoundByPeer means that only a peer connected: the path of this instance is lost.
	FoundByPeer
	// FoundUnreachable means that neither this instance nor a peer could connect.
	FoundUnreachable
	// FoundRefused means that the connections of both were refused.
	FoundRefused
	// FoundAlone means that this instance could not connect and has no peer to ask.
	FoundAlone
	// FoundRefusedAlone means that the connection of this instance was refused, and that it has no peer to ask.
	FoundRefusedAlone
)
