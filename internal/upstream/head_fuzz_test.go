package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// scriptedConn is a connection that returns the given bytes in parts, and then repeats the last part without end.
type scriptedConn struct {
	net.Conn
	data      []byte
	partBytes int
	tail      []byte
	// read counts the bytes that were returned.
	read int
}

func (sc *scriptedConn) Read(b []byte) (int, error) {
	if len(sc.data) == 0 {
		if len(sc.tail) == 0 {
			return 0, io.EOF
		}
		sc.data = sc.tail
	}
	n := copy(b, sc.data[:min(len(sc.data), sc.partBytes)])
	sc.data = sc.data[n:]
	sc.read += n
	return n, nil
}

func (sc *scriptedConn) Close() error { return nil }

// FuzzReadHead checks that a head is decoded as net/http does, unless it exceeds a bound, and that no input makes it read without end.
func FuzzReadHead(f *testing.F) {
	const first = "HTTP/1.1 200 OK\r\n"
	for _, seed := range []string{
		first + "Content-Length: 2\r\n\r\nok", first + "\r\r\n y\r\n y\r\n", first + " \r\n\r\n", "\r\n" + first + "\r\n", "HTTP/1.1 200 OK\n\n",
		first + "X: y\r\n z\r\n\r\n", first + strings.Repeat("X: y\r\n", 300) + "\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" + first + "\r\n",
		first + "X: " + strings.Repeat("y", 70<<10) + "\r\n\r\n", first + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nz\r\n0\r\nX: y\r\n\r\n", "HTTP/1.1 2",
	} {
		f.Add([]byte(seed), uint16(1<<10), []byte(nil))
		f.Add([]byte(seed), uint16(7), []byte("X: y\r\n"))
	}
	pl := NewPool(time.Now, metrics.NewSet(), time.Second)
	f.Fuzz(func(t *testing.T, data []byte, partBytes uint16, tail []byte) {
		g := NewWithT(t)
		sc := &scriptedConn{data: data, partBytes: max(1, int(partBytes)), tail: tail}
		resp, err := pl.readHead(newConn(sc, func() {}), &http.Request{Method: http.MethodPost}, Call{})
		g.Expect(sc.read).To(BeNumerically("<=", 2*maxHeadBytes+2*readBufferBytes))
		var he *HeadTooLargeError
		if errors.As(err, &he) || len(tail) > 0 {
			return
		}
		want, wantErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: http.MethodPost})
		g.Expect(err == nil).To(Equal(wantErr == nil), "%v, %v", err, wantErr)
		if err == nil {
			g.Expect(resp.StatusCode).To(Equal(want.StatusCode))
			g.Expect(resp.Header).To(Equal(want.Header))
			g.Expect(resp.ContentLength).To(Equal(want.ContentLength))
		}
	})
}
