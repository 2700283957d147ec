package position_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/position"
)

func TestRestoredPositionsAreOrderedByEraFirst(t *testing.T) {
	tests := map[string]struct {
		at, other       position.Position
		after, restored bool
	}{
		"a later revision":                {position.Position{Revision: 5}, position.Position{Revision: 4}, true, false},
		"the same":                        {position.Position{Era: 1, Revision: 4}, position.Position{Era: 1, Revision: 4}, false, false},
		"an earlier revision, a new era":  {position.Position{Era: 1, Revision: 2}, position.Position{Revision: 480}, true, true},
		"the same revision, a new era":    {position.Position{Era: 2, Revision: 480}, position.Position{Era: 1, Revision: 480}, true, true},
		"a later revision, an old era":    {position.Position{Revision: 900}, position.Position{Era: 1, Revision: 2}, false, false},
		"nothing was known of the store":  {position.Position{Era: 3, Revision: 2}, position.Position{}, true, false},
		"nothing is known, and never was": {position.Position{}, position.Position{}, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.at.After(tc.other)).To(Equal(tc.after))
			g.Expect(tc.at.RestoredSince(tc.other)).To(Equal(tc.restored))
		})
	}
}

func TestNumbersKeepTheOrderOfPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		draw := func(label string) position.Position {
			return position.Position{
				Era: rapid.Int64Range(0, 500).Draw(t, label+" era"), Revision: rapid.Int64Range(0, 1<<44-1).Draw(t, label+" revision"),
			}
		}
		a, b := draw("a"), draw("b")
		g.Expect(position.Unpack(a.Pack())).To(Equal(a))
		g.Expect(a.After(b)).To(Equal(a.Pack() > b.Pack()))
		g.Expect(position.Position{Revision: a.Revision}.Pack()).To(Equal(a.Revision), "before the first return it is the revision alone")
	})
}
