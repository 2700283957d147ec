package fault

import (
	"net/http"
	"strconv"
)

// Unbounded is the Length of an answer that is sent in chunks.
const Unbounded = -1

// Answer is what a target sends for one request.
type Answer struct {
	Status int
	// Header is never nil and holds no framing.
	Header http.Header
	// Length is the sum of the lengths of all pieces, or Unbounded.
	Length int
	// Body sends the body piece by piece, each flushed by itself, until send reports false. It reports whether it came
	// to its end.
	Body func(send func([]byte) bool) bool
}

// Whole returns an answer that is sent in one piece.
func Whole(status int, body []byte) Answer {
	return Answer{
		Status: status, Header: http.Header{}, Length: len(body),
		Body: func(send func([]byte) bool) bool { return send(body) },
	}
}

// Refusal returns an answer which says that the request was not run.
func Refusal(status int) Answer {
	return Whole(status, nil).With(HeaderNotExecuted, "1")
}

// With returns a copy with one more header.
func (an Answer) With(name, value string) Answer {
	an.Header = an.Header.Clone()
	an.Header.Set(name, value)
	return an
}

func (an Answer) without(name string) Answer {
	an.Header = an.Header.Clone()
	an.Header.Del(name)
	return an
}

// framed returns a copy with the headers that tell where the answer ends.
func (an Answer) framed(kd Kind) Answer {
	switch {
	case kd == NoLength:
		return an.With("Connection", "close")
	case an.Length == Unbounded:
		return an.With("Transfer-Encoding", "chunked")
	default:
		return an.With("Content-Length", strconv.Itoa(an.Length))
	}
}
