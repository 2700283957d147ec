package fault

import (
	"net/http"
	"strconv"
)

// Unbounded is the Length of an answer that is sent in chunks.
const Unbounded = -1

// Answer is what a target sends for one request.
type Response struct {
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
func Whole(status int, body []byte) Response {
	return Response{
		Status: status, Header: http.Header{}, Length: len(body),
		Body: func(send func([]byte) bool) bool { return send(body) },
	}
}

// Refusal returns an answer which says that the request was not run.
func Refusal(status int) Response {
	return Whole(status, nil).With(HeaderNotExecuted, "1")
}

// With returns a copy with one more header.
func (an Response) With(name, value string) Response {
	an.Header = an.Header.Clone()
	an.Header.Set(name, value)
	return an
}

func (an Response) without(name string) Response {
	an.Header = an.Header.Clone()
	an.Header.Del(name)
	return an
}

// framed returns a copy with the headers that tell where the answer ends.
func (an Response) framed(kd Kind) Response {
	switch {
	case kd == NoLength:
		return an.With("Connection", "close")
	case an.Length == Unbounded:
		return an.With("Transfer-Encoding", "chunked")
	default:
		return an.With("Content-Length", strconv.Itoa(an.Length))
	}
}
