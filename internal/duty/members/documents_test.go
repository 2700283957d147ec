package members

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

func TestDocumentIsUnfoldedAsItWas(t *testing.T) {
	tests := map[string][]byte{
		"empty":    {},
		"short":    []byte(`{"version":7}`),
		"repeated": bytes.Repeat([]byte(`{"route":"a","service":"b"},`), 10_000),
	}
	for name, document := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := pack(document)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := unpack(b)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(got, document)).To(BeTrue())
		})
	}
}

func TestRepeatedDocumentIsSmall(t *testing.T) {
	g := NewWithT(t)
	document := bytes.Repeat([]byte(`{"route":"a","service":"b"},`), 10_000)
	b, err := pack(document)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<", len(document)/10))
}

func TestDocumentThatCannotBeUnfolded(t *testing.T) {
	g := NewWithT(t)
	_, err := unpack([]byte("not compressed"))
	g.Expect(err).To(HaveOccurred())
	b, err := pack(make([]byte, maxDocumentBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unpack(b)
	var tooLarge *TooLargeError
	g.Expect(errors.As(err, &tooLarge)).To(BeTrue())
}

func TestPackedKeepsTheNewestVersion(t *testing.T) {
	g := NewWithT(t)
	var pk packed
	first, err := pk.of(1, []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	again, err := pk.of(1, []byte("not looked at"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	second, err := pk.of(2, []byte("two"))
	g.Expect(err).NotTo(HaveOccurred())
	got, err := unpack(second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal("two"))
}
