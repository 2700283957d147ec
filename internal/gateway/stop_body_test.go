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

// hookedBody is a body that calls a function after its last byte was read.
type hookedBody struct {
	io.ReadCloser
	remaining  int
	onLastByte func()
}

// Read reads, and calls the function after the last byte.
func (hb *hookedBody) Read(b []byte) (int, error) {
	n, err := hb.ReadCloser.Read(b)
	if hb.remaining -= n; n > 0 && hb.remaining == 0 {
		hb.onLastByte()
	}
	return n, err
}

// TestRequestWithCompleteBodyIsRefusedOnAbort aborts requests after the last byte of a body was read and before the goroutine
// that reads the body continues.
//
// It guards against a connection that is closed without any response after the complete request was read. The abort sets a read
// deadline in the past on the connection of every body that is being read. Once the last byte has been read, the HTTP server
// reads from the connection to detect that the caller disconnects. The deadline makes that read fail, which looks as if the
// caller had disconnected: the context of the request ends, and the connection is closed without a response.
func TestRequestWithCompleteBodyIsRefusedOnAbort(t *testing.T) {
	g := NewWithT(t)
	gw := newGatewayWithoutTargets(waitTimeout)
	const body = "whole body"
	// unscheduled is how long the goroutine that reads the body does not run.
	const unscheduled = 50 * time.Millisecond
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &hookedBody{ReadCloser: r.Body, remaining: len(body), onLastByte: func() {
			gw.AbortRequests()
			time.Sleep(unscheduled)
		}}
		gw.ServeHTTP(w, r)
	}))
	defer sv.Close()
	cn, err := net.Dial("tcp", sv.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer cn.Close()
	_, err = io.WriteString(cn, "POST /a/ HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\n"+body)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "the connection was closed without a response")
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}
