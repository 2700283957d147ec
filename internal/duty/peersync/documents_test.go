package peersync

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

func TestCompressRoundTrip(t *testing.T) {
	tests := map[string][]byte{
		"empty":    {},
		"short":    []byte(`{"version":7}`),
		"repeated": bytes.Repeat([]byte(`{"route":"a","service":"b"},`), 10_000),
	}
	for name, document := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := compress(document)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := decompress(b)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(got, document)).To(BeTrue())
		})
	}
}

func TestCompressShrinksRepetitiveDocument(t *testing.T) {
	g := NewWithT(t)
	document := bytes.Repeat([]byte(`{"route":"a","service":"b"},`), 10_000)
	b, err := compress(document)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<", len(document)/10))
}

func TestDecompressRejectsInvalidDocument(t *testing.T) {
	g := NewWithT(t)
	_, err := decompress([]byte("not compressed"))
	g.Expect(err).To(HaveOccurred())
	b, err := compress(make([]byte, maxDocumentBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decompress(b)
	var tooLarge *TooLargeError
	g.Expect(errors.As(err, &tooLarge)).To(BeTrue())
}

func TestCompressedCacheKeepsLastVersion(t *testing.T) {
	g := NewWithT(t)
	var cc compressedCache
	first, err := cc.get(1, []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	again, err := cc.get(1, []byte("ignored for a cached version"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	second, err := cc.get(2, []byte("two"))
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decompress(second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal("two"))
}
