package explain

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

func TestPropagation(t *testing.T) {
	g := NewWithT(t)
	f, err := os.Open(filepath.Join("testdata", "propagation.log"))
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ps, err := SummarisePropagation(f)
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(ps.Print(&out)).To(Succeed())
	golden(g, "propagation", out.Bytes())
}

func TestPropagationReturnsReadError(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	_, err := SummarisePropagation(iotest.ErrReader(broken))
	g.Expect(err).To(MatchError(broken))
}
