package boundedread_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/boundedread"
)

// endless is a source without end.
type endless struct{ read int }

func (es *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	es.read += len(b)
	return len(b), nil
}

// TestAllIsNeverCutOffSilently guards against an input that is too large and is taken for a shorter one.
func TestAllIsNeverCutOffSilently(t *testing.T) {
	const maxBytes = 10
	tests := map[string]struct {
		bytes   int
		tooMany bool
	}{
		"empty": {0, false}, "below": {maxBytes - 1, false}, "at the maximum": {maxBytes, false}, "above": {maxBytes + 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Repeat("x", tc.bytes)
			for _, src := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				b, err := boundedread.All(src, maxBytes)
				var te *boundedread.TooLargeError
				g.Expect(errors.As(err, &te)).To(Equal(tc.tooMany), "%v", err)
				if !tc.tooMany {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(b)).To(Equal(text))
				}
			}
		})
	}
}

// TestInputWithoutEndIsGivenUp guards against a source that writes without end.
func TestInputWithoutEndIsGivenUp(t *testing.T) {
	const maxBytes = 1 << 20
	tests := map[string]func(src io.Reader) error{
		"all":     func(src io.Reader) error { _, err := boundedread.All(src, maxBytes); return err },
		"discard": func(src io.Reader) error { return boundedread.Discard(src, maxBytes) },
		"JSON":    func(src io.Reader) error { var v any; return boundedread.JSON(src, maxBytes, &v) },
	}
	for name, read := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			es := &endless{}
			var te *boundedread.TooLargeError
			g.Expect(errors.As(read(es), &te)).To(BeTrue())
			g.Expect(es.read).To(BeNumerically("<=", maxBytes+1))
		})
	}
}
