package targetsim

import (
	"net/http"
	"strconv"
)

// Chunked is the Length of a response that is sent with chunked transfer encoding.
const Chunked = -1

// Response is the HTTP response of a target to one request.
type Response struct {
	Status int
	// Header is never nil. It holds no framing headers such as Content-Length.
	Header http.Header
	// Length is the length of the whole body in bytes, or Chunked.
	Length int
	// Body calls send for each piece of the body, which is flushed by itself, until send reports false. It reports
	// whether the whole body was sent.
	Body func(send func([]byte) bool) bool
}

// NewResponse returns a response whose body is sent in one piece.
func NewResponse(status int, body []byte) Response {
	return Response{
		Status: status, Header: http.Header{}, Length: len(body),
		Body: func(send func([]byte) bool) bool { return send(body) },
	}
}

// Refusal returns a response with the header which says that the request was not executed.
func Refusal(status int) Response {
	return NewResponse(status, nil).WithHeader(HeaderNotExecuted, "1")
}

// WithHeader returns a copy with the header set to the value.
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

// withFraming returns a copy with the header that tells the caller where the body ends.
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
