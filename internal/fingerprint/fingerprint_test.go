package fingerprint_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

func TestOfDistinguishesRequests(t *testing.T) {
	base := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/a?b", Body: []byte("body")}
	cases := map[string]struct {
		edit func(*fingerprint.Request)
		same bool
	}{
		"the same":                        {func(*fingerprint.Request) {}, true},
		"an equal body in other memory":   {func(rq *fingerprint.Request) { rq.Body = []byte("bo" + "dy") }, true},
		"another organisation":            {func(rq *fingerprint.Request) { rq.Organisation = "blue" }, false},
		"another method":                  {func(rq *fingerprint.Request) { rq.Method = "PUT" }, false},
		"another host":                    {func(rq *fingerprint.Request) { rq.Host = "apis" }, false},
		"another query":                   {func(rq *fingerprint.Request) { rq.RequestURI = "/a?c" }, false},
		"another body":                    {func(rq *fingerprint.Request) { rq.Body = []byte("bodies") }, false},
		"no body":                         {func(rq *fingerprint.Request) { rq.Body = nil }, false},
		"a byte moved from path to host":  {func(rq *fingerprint.Request) { rq.Host, rq.RequestURI = "api/", "a?b" }, false},
		"a byte moved from query to body": {func(rq *fingerprint.Request) { rq.RequestURI, rq.Body = "/a?", []byte("bbody") }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rq := base
			tc.edit(&rq)
			NewWithT(t).Expect(fingerprint.Of(rq) == fingerprint.Of(base)).To(Equal(tc.same))
		})
	}
}

func TestHeadHashIgnoresBodyContent(t *testing.T) {
	g := NewWithT(t)
	one := fingerprint.Request{Organisation: "red", RequestURI: "/a", Body: []byte("one")}
	two := one
	two.Body = []byte("two")
	longer := one
	longer.Body = []byte("three")
	g.Expect(fingerprint.Of(one).HeadHash()).To(Equal(fingerprint.HeadHashOf(one)))
	g.Expect(fingerprint.Of(two).HeadHash()).To(Equal(fingerprint.HeadHashOf(one)))
	g.Expect(fingerprint.Of(longer).HeadHash()).NotTo(Equal(fingerprint.HeadHashOf(one)))
}

func TestParseRoundTripAndMalformedText(t *testing.T) {
	g := NewWithT(t)
	fp := fingerprint.Of(fingerprint.Request{Organisation: "red"})
	got, err := fingerprint.Parse(fp.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(fp))
	for _, text := range []string{"", "00", fp.String() + "00", "zz" + fp.String()[2:]} {
		_, err := fingerprint.Parse(text)
		var me *fingerprint.MalformedError
		g.Expect(errors.As(err, &me)).To(BeTrue(), text)
		g.Expect(me.Text).To(Equal(text))
	}
}

// BenchmarkOf measures the fingerprint of a body. It is computed only for requests with a suspected head hash and for interrupted
// ones.
func BenchmarkOf(b *testing.B) {
	for _, size := range []int{1_000, 100_000, 4_000_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			rq := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/a", Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				fingerprint.Of(rq)
			}
		})
	}
}

// BenchmarkHeadHashOf measures the cost per request while other requests are suspected.
func BenchmarkHeadHashOf(b *testing.B) {
	rq := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/a", Body: make([]byte, 4_000_000)}
	for b.Loop() {
		fingerprint.HeadHashOf(rq)
	}
}
