package fault

import (
	"net/http"
	"strconv"
)

// Unbounded is the Length of an answer that is sent in chunks.
const Chunked = -1

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
func NewResponse(status int, body []byte) Response {
	return Response{
		Status: status, Header: http.Header{}, Length: len(body),
		Body: func(send func([]byte) bool) bool { return send(body) },
	}
}

// Refusal returns an answer which says that the request was not run.
func Refusal(status int) Response {
	return NewResponse(status, nil).WithHeader(HeaderNotExecuted, "1")
}

// With returns a copy with one more header.
func (rs Response) WithHeader(name, value string) Response {
	rs.Header = rs.Header.Clone()
	rs.Header.Set(name, value)
	return rs
}

func (rs Response) withoutHeader(name string) Response {
	rs.Header = rs.Header.Clone()
	rs.Header.Del(name)
	return rs
}

// framed returns a copy with the headers that tell where the answer ends.
func (rs Response) withFraming(kd Kind) Response {
	switch {
	case kd == NoLength:
		return rs.WithHeader("Connection", "close")
	case rs.Length == Chunked:
		return rs.WithHeader("Transfer-Encoding", "chunked")
	default:
		return rs.WithHeader("Content-Length", strconv.Itoa(rs.Length))
	}
}
