package bundle

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
)

func bundleWithOrganisations(n int) Bundle {
	b := Bundle{Version: 3, Classes: []Class{{Name: "c", Deadline: config.Duration(time.Second), Objective: Objective{Share: 0.9}}}}
	for i := range n {
		b.Organisations = append(b.Organisations, Organisation{Name: fmt.Sprintf("o%d", i), KeyDigests: []string{KeyDigest(fmt.Sprint(i))}})
	}
	return b
}

func TestSplitAndJoin(t *testing.T) {
	tests := map[string]struct {
		organisations int
		wantParts     bool
	}{
		"few are not split": {organisations: 10},
		"many are split":    {organisations: 1000, wantParts: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			index, parts, err := bundleWithOrganisations(tc.organisations).Split()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(parts) > 0).To(Equal(tc.wantParts))
			stored := map[string][]byte{}
			for _, p := range parts {
				stored[p.Digest] = p.Body
			}
			whole, err := index.Join(func(d string) ([]byte, error) { return stored[d], nil })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(whole.Organisations).To(ConsistOf(bundleWithOrganisations(tc.organisations).Organisations))
		})
	}
}

func TestChangeOfOneOrganisationChangesOnePart(t *testing.T) {
	g := NewWithT(t)
	before, _, _ := bundleWithOrganisations(1000).Split()
	changed := bundleWithOrganisations(1000)
	changed.Organisations[500].MaxConcurrent = 7
	after, parts, err := changed.Split()
	g.Expect(err).NotTo(HaveOccurred())
	changedParts := 0
	for i := range after.Parts {
		if after.Parts[i] != before.Parts[i] {
			changedParts++
		}
	}
	g.Expect(changedParts).To(Equal(1))
	_, err = after.Join(func(string) ([]byte, error) { return parts[0].Body, nil })
	var missing *MissingPartError
	g.Expect(err).To(BeAssignableToTypeOf(missing), "a part that does not match its digest must be refused")
}
