package position_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/position"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	tests := map[string]struct {
		at, other       position.Position
		after, restored bool
	}{
		"later revision":                   {position.Position{Revision: 5}, position.Position{Revision: 4}, true, false},
		"same position":                    {position.Position{Era: 1, Revision: 4}, position.Position{Era: 1, Revision: 4}, false, false},
		"earlier revision in a later era":  {position.Position{Era: 1, Revision: 2}, position.Position{Revision: 480}, true, true},
		"same revision in a later era":     {position.Position{Era: 2, Revision: 480}, position.Position{Era: 1, Revision: 480}, true, true},
		"later revision in an earlier era": {position.Position{Revision: 900}, position.Position{Era: 1, Revision: 2}, false, false},
		"other position unknown":           {position.Position{Era: 3, Revision: 2}, position.Position{}, true, false},
		"both positions unknown":           {position.Position{}, position.Position{}, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.at.After(tc.other)).To(Equal(tc.after))
			g.Expect(tc.at.RestoredSince(tc.other)).To(Equal(tc.restored))
		})
	}
}

func TestPackKeepsOrder(t *testing.T) {
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
		g.Expect(position.Position{Revision: a.Revision}.Pack()).To(Equal(a.Revision), "in era zero the packed position equals the revision")
	})
}
