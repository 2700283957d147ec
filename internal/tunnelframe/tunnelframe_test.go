package tunnelframe_test

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/tunnelframe"
)

// frame returns a frame with a payload.
func frame(payload string) string {
	b := append(make([]byte, tunnelframe.HeaderBytes), payload...)
	tunnelframe.SetLength(b)
	return string(b)
}

var (
	endMark   = string(tunnelframe.EndMark())
	resetMark = string(tunnelframe.ResetMark())
)

// TestReaderTellsEndOfTargetFromEndOfPeer guards against a peer that ends and is taken for a target that has sent all.
func TestReaderTellsEndOfTargetFromEndOfPeer(t *testing.T) {
	largest := strings.Repeat("x", tunnelframe.MaxPayloadBytes)
	cases := map[string]struct {
		data string
		want string
		// wantErr is the error after the data; nil for a tunnel.CutError.
		wantErr error
	}{
		"target closes":                       {frame("one") + frame("two") + endMark, "onetwo", io.EOF},
		"target closes without data":          {endMark, "", io.EOF},
		"target breaks off":                   {frame("one") + resetMark, "one", syscall.ECONNRESET},
		"data after the mark":                 {frame("one") + endMark + frame("two"), "one", io.EOF},
		"largest payload":                     {frame(largest) + endMark, largest, io.EOF},
		"peer ends between two frames":        {frame("one"), "one", nil},
		"peer ends within a payload":          {frame("one")[:4], "on", nil},
		"peer ends within a header":           {frame("one") + "\x00", "one", nil},
		"peer ends at once":                   {"", "", nil},
		"length of neither a payload nor end": {frame("one") + "\xff\x00two", "one", nil},
	}
	readers := map[string]func(io.Reader) io.Reader{
		"all at once": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "data with the error": iotest.DataErrReader,
	}
	for name, tc := range cases {
		for how, wrap := range readers {
			t.Run(name+", "+how, func(t *testing.T) {
				g := NewWithT(t)
				rd := tunnelframe.NewReader(wrap(strings.NewReader(tc.data)))
				var got bytes.Buffer
				var err error
				for b := make([]byte, 16<<10); err == nil; {
					var n int
					n, err = rd.Read(b)
					got.Write(b[:n])
				}
				g.Expect(got.String()).To(Equal(tc.want))
				_, again := rd.Read(make([]byte, 1))
				g.Expect(again).To(Equal(err), "the end stays")
				if tc.wantErr != nil {
					g.Expect(errors.Is(err, tc.wantErr)).To(BeTrue(), "%v", err)
					return
				}
				var ce *tunnel.CutError
				g.Expect(errors.As(err, &ce)).To(BeTrue(), "%v", err)
				g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
			})
		}
	}
}

// TestErrorsOfThisProcessAreNoCut checks that a deadline and the close of the connection by this process are not taken for the end of the
// peer, and that reading goes on after a deadline.
func TestErrorsOfThisProcessAreNoCut(t *testing.T) {
	g := NewWithT(t)
	_, err := tunnelframe.NewReader(iotest.ErrReader(net.ErrClosed)).Read(make([]byte, 1))
	g.Expect(err).To(Equal(net.ErrClosed))

	peer, instance := net.Pipe()
	defer peer.Close()
	defer instance.Close()
	rd := tunnelframe.NewReader(instance)
	g.Expect(instance.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
	_, err = rd.Read(make([]byte, 1))
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	g.Expect(instance.SetReadDeadline(time.Time{})).To(Succeed())
	go func() { _, _ = io.WriteString(peer, frame("x")) }() // fails only if the read below does
	b := make([]byte, 4)
	n, err := rd.Read(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(b[:n])).To(Equal("x"))
}

// FuzzReader checks that any input of a peer ends in an error, and gives no more data than it holds.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"", endMark, resetMark, frame("one") + endMark, frame("one")[:3], "\xff\x00", "\x20\x01x"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		g := NewWithT(t)
		rd := tunnelframe.NewReader(bytes.NewReader(data))
		b := make([]byte, max(1, size%64))
		total := 0
		for {
			n, err := rd.Read(b)
			total += n
			if err != nil {
				break
			}
		}
		g.Expect(total).To(BeNumerically("<=", len(data)))
	})
}
