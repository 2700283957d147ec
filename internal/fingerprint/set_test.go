package fingerprint_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

func TestTextOfFingerprints(t *testing.T) {
	rq := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/a?b"}
	cases := map[string]struct {
		fp fingerprint.Fingerprint
		// want is the text, or its beginning if the rest is a hash.
		want   string
		hashed bool
	}{
		"part":                    {fingerprint.OfPart("5c1e07a2"), "part:5c1e07a2", false},
		"part with a long ID":     {fingerprint.OfPart(strings.Repeat("ab", 20)), "part:ff", true},
		"part with other letters": {fingerprint.OfPart("a/b"), "part:ff", true},
		"part without ID":         {fingerprint.OfPart(""), "part:ff", true},
		"organisation":            {fingerprint.OfOrganisation("red"), "organisation:red", false},
		"path":                    {fingerprint.OfPath(rq), "path:ff", true},
		"combination":             {fingerprint.OfCombination([]fingerprint.Fingerprint{fingerprint.OfPart("a"), fingerprint.OfPart("b")}), "combination:ff", true},
		"combination of one":      {fingerprint.OfCombination([]fingerprint.Fingerprint{fingerprint.OfPart("a")}), "part:a", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := tc.fp.String()
			if tc.hashed {
				g.Expect(text).To(HavePrefix(tc.want))
			} else {
				g.Expect(text).To(Equal(tc.want))
			}
			got, err := fingerprint.Parse(text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(tc.fp))
		})
	}
	for _, text := range []string{"part:", "part:a/b", "nothing:a", "path:a", "request:xx"} {
		_, err := fingerprint.Parse(text)
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

func TestPathIgnoresQuery(t *testing.T) {
	g := NewWithT(t)
	rq := fingerprint.Request{Method: "GET", Host: "api", RequestURI: "/a?b"}
	other := rq
	other.RequestURI = "/a?c"
	g.Expect(fingerprint.OfPath(rq)).To(Equal(fingerprint.OfPath(other)))
	other.Host = "other"
	g.Expect(fingerprint.OfPath(rq)).NotTo(Equal(fingerprint.OfPath(other)))
}

func TestSetLeavesOutTheLastPart(t *testing.T) {
	g := NewWithT(t)
	rq := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/a", Body: []byte("body")}
	st := fingerprint.SetOf(rq, []string{"b", "a", "b", "own"})
	g.Expect(st.Shared()).To(Equal([]fingerprint.Fingerprint{
		fingerprint.OfPart("a"), fingerprint.OfPart("b"), fingerprint.OfPath(rq), fingerprint.OfOrganisation("red"),
	}))
	g.Expect(st.Has(fingerprint.OfPart("b"))).To(BeTrue())
	g.Expect(st.Has(fingerprint.OfPart("own"))).To(BeFalse())
	g.Expect(st.Has(fingerprint.Of(rq))).To(BeTrue())
	g.Expect(st.HasAll(st.All())).To(BeTrue())
	rq.Body = []byte("else")
	g.Expect(st.Has(fingerprint.Of(rq))).To(BeFalse())
	g.Expect(st.HasAll([]fingerprint.Fingerprint{fingerprint.OfPart("a"), fingerprint.OfPart("c")})).To(BeFalse())
	g.Expect(fingerprint.SetOf(rq, []string{"own"}).Shared()).To(HaveLen(2))
	g.Expect(fingerprint.SetOf(rq, nil).Shared()).To(HaveLen(2))
}

func TestSetBoundsTheNumberOfParts(t *testing.T) {
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("part-", i))
	}
	NewWithT(t).Expect(len(fingerprint.SetOf(fingerprint.Request{}, ids).Shared())).To(BeNumerically("<=", 129))
}
