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

func TestLosses(t *testing.T) {
	for _, name := range []string{"losses", "losses-empty"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, err := os.Open(filepath.Join("testdata", name+".log"))
			g.Expect(err).NotTo(HaveOccurred())
			defer f.Close()
			lo, err := SummariseLosses(f)
			g.Expect(err).NotTo(HaveOccurred())
			var out bytes.Buffer
			g.Expect(lo.Print(&out)).To(Succeed())
			golden(g, name, out.Bytes())
		})
	}
}

func TestLossesReturnReadError(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	_, err := SummariseLosses(iotest.ErrReader(broken))
	g.Expect(err).To(MatchError(broken))
}
