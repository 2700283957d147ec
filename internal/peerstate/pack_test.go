package peerstate

import (
	"cmp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPackedSizeAndRoundTrip(t *testing.T) {
	tests := map[string]struct {
		id string
		// most is the aim for its bytes.
		most int
	}{
		"hex digits":                 {"i-72679801ad", 5},
		"with a time of birth":       {"i-72679801ad@m47mmf0b", 13},
		"an odd number of digits":    {"i-726@m47mmf0b", 14},
		"another form":               {"inst-1", 6},
		"no time after the mark":     {"i-72@", 5},
		"a time of another spelling": {"i-72@00m4", 9},
		"no digits":                  {"i-@1", 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written, flags := pack(tc.id)
			g.Expect(len(written)).To(BeNumerically("<=", tc.most))
			g.Expect(unpack([]byte(written), flags)).To(Equal(tc.id))
		})
	}
}

func TestPackRoundTripsAnyIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.StringMatching(`(i-)?[0-9a-f]{0,12}(@[0-9a-z]{0,13})?`).Draw(rt, "id")
		written, flags := pack(id)
		NewWithT(rt).Expect(unpack([]byte(written), flags)).To(Equal(id))
	})
}

// TestOrderForInstancesOfTheBuildBefore: they read an incarnation with a time of birth as it is written, and refuse a state whose targets
// are not in that order.
func TestEncodedTargetOrderIsAcceptedByPreviousBuild(t *testing.T) {
	g := NewWithT(t)
	st := State{Leaving: []string{"i-aa", "i-aa@zz", "i-ab@1", "i-abcd@1", "inst", "i-ab@m47mmf0b", "i-ab@m47mmf0c", "i-ff"}}
	b, err := st.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	again, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Leaving).To(ConsistOf(st.Leaving))
	g.Expect(slices.IsSortedFunc(again.Leaving, func(a, b string) int { return cmp.Compare(readByPreviousBuild(a), readByPreviousBuild(b)) })).To(BeTrue())
}

// readBefore returns an incarnation as an instance of the build before reads it.
func readByPreviousBuild(id string) string {
	written, flags := pack(id)
	if flags&flagPacked != 0 {
		return id
	}
	return written
}
