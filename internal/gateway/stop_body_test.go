package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// hookedBody calls a function once its last byte was read.
type hookedBody struct {
	io.ReadCloser
	left int
	last func()
}

// Read reads, and calls the function behind the last byte.
func (hb *hookedBody) Read(b []byte) (int, error) {
	n, err := hb.ReadCloser.Read(b)
	if hb.left -= n; n > 0 && hb.left == 0 {
		hb.last()
	}
	return n, err
}

// TestBodyReadWholeAtTheEndIsRefused ends the gateway between the last byte of a body and the moment at which its reader goes
// on.
//
// Symptom: the connection of a request that was read whole is closed with neither an answer nor a refusal.
//
// Sequence: a body comes while the instance stops. Its last byte is read; the server then watches the connection for its
// caller's close. The instance ends before the reader of the body is scheduled again.
//
// Cause: the end sets a read deadline in the past on the connection of every body that is being read. For a body that is
// whole it ends the server's watch, which looks like a caller that has gone: the request's context ends without an
// EndedError, and for a caller that has gone the connection is broken off.
func TestBodyReadWholeAtTheEndIsRefused(t *testing.T) {
	g := NewWithT(t)
	gw := newWaiting(generous)
	const text = "whole body"
	// unscheduled is how long the reader of the body gets no processor.
	const unscheduled = 50 * time.Millisecond
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &hookedBody{ReadCloser: r.Body, left: len(text), last: func() {
			gw.AbortRequests()
			time.Sleep(unscheduled)
		}}
		gw.ServeHTTP(w, r)
	}))
	defer sv.Close()
	cn, err := net.Dial("tcp", sv.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer cn.Close()
	_, err = io.WriteString(cn, "POST /a/ HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\n"+text)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}
