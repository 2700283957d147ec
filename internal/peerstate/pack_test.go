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
		// maxBytes is the largest acceptable encoding.
		maxBytes int
	}{
		"hex digits":                  {"i-72679801ad", 5},
		"with a start time":           {"i-72679801ad@m47mmf0b", 13},
		"an odd number of digits":     {"i-726@m47mmf0b", 14},
		"another form":                {"inst-1", 6},
		"no time after the separator": {"i-72@", 5},
		"a time with leading zeros":   {"i-72@00m4", 9},
		"no digits":                   {"i-@1", 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			encoded, flags := pack(tc.id)
			g.Expect(len(encoded)).To(BeNumerically("<=", tc.maxBytes))
			g.Expect(unpack([]byte(encoded), flags)).To(Equal(tc.id))
		})
	}
}

func TestPackRoundTripsAnyIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.StringMatching(`(i-)?[0-9a-f]{0,12}(@[0-9a-z]{0,13})?`).Draw(rt, "id")
		encoded, flags := pack(id)
		NewWithT(rt).Expect(unpack([]byte(encoded), flags)).To(Equal(id))
	})
}

// TestEncodedTargetOrderIsAcceptedByPreviousBuild guards against states that instances of the previous build reject. They do not unpack
// incarnations with a start time, and require the targets in the order of the packed bytes.
func TestEncodedTargetOrderIsAcceptedByPreviousBuild(t *testing.T) {
	g := NewWithT(t)
	st := State{Leaving: []string{"i-aa", "i-aa@zz", "i-ab@1", "i-abcd@1", "inst", "i-ab@m47mmf0b", "i-ab@m47mmf0c", "i-ff"}}
	b, err := st.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Leaving).To(ConsistOf(st.Leaving))
	g.Expect(slices.IsSortedFunc(decoded.Leaving, func(a, b string) int { return cmp.Compare(readByPreviousBuild(a), readByPreviousBuild(b)) })).To(BeTrue())
}

// readByPreviousBuild returns an incarnation as an instance of the previous build decodes it.
func readByPreviousBuild(id string) string {
	encoded, flags := pack(id)
	if flags&flagPacked != 0 {
		return id
	}
	return encoded
}
