package readahead_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/readahead"
)

const (
	maxBytes = 8 << 10
	delay    = 100 * time.Millisecond
)

func always(int64) bool { return true }

// source counts the bytes that were read from it.
type source struct {
	io.Reader
	read int
}

func (sc *source) Read(b []byte) (int, error) {
	n, err := sc.Reader.Read(b)
	sc.read += n
	return n, err
}

// slowWrite is a write that takes much longer than the delay.
func slowWrite() error {
	time.Sleep(10 * delay)
	return nil
}

func TestReadsAheadDuringSlowWrites(t *testing.T) {
	tests := map[string]struct {
		write   func() error
		reserve func(int64) bool
		// want is the maximum number of bytes read during the write.
		want int
	}{
		"slow write":             {slowWrite, always, maxBytes},
		"fast write":             {func() error { return nil }, always, 0},
		"slow write, no memory":  {slowWrite, func(int64) bool { return false }, 0},
		"write fails at once":    {func() error { return io.ErrClosedPipe }, always, 0},
		"write fails after long": {func() error { _ = slowWrite(); return io.ErrClosedPipe }, always, maxBytes},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				content := bytes.Repeat([]byte("0123456789"), 5000)
				sc := &source{Reader: bytes.NewReader(content)}
				rd := readahead.New(sc, maxBytes, delay, tc.reserve)
				err := rd.During(tc.write)
				synctest.Wait()
				g.Expect(sc.read).To(BeNumerically("~", tc.want, 4<<10), "one chunk may exceed the bound")
				g.Expect(rd.Pending()).To(Equal(tc.want > 0))
				if err == nil {
					got, err := io.ReadAll(rd)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(got).To(Equal(content))
				}
				released := rd.Close()
				g.Expect(released).To(Equal(int64(tc.want)))
			})
		})
	}
}

func TestReturnsErrorAfterWhatWasReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := errors.New("broken")
		rd := readahead.New(io.MultiReader(bytes.NewReader([]byte("begun")), iotest.ErrReader(broken)), maxBytes, delay, always)
		g.Expect(rd.During(slowWrite)).To(Succeed())
		got, err := io.ReadAll(rd)
		g.Expect(string(got)).To(Equal("begun"))
		g.Expect(err).To(MatchError(broken))
	})
}

// TestCloseEndsReadingAhead closes a Reader whose buffer is full. The goroutine that reads ahead must end, else the test fails.
func TestCloseEndsReadingAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rd := readahead.New(bytes.NewReader(make([]byte, 10*maxBytes)), maxBytes, delay, always)
		_ = rd.During(slowWrite)
		rd.Close()
	})
}
