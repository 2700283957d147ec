package peercodec_test

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/peercodec"
)

func TestReaderReadsAppendedValues(t *testing.T) {
	g := NewWithT(t)
	b := peercodec.AppendString(nil, "a name")
	b = peercodec.AppendDuration(b, 1500*time.Millisecond, time.Minute)
	b = peercodec.AppendDuration(b, time.Hour, time.Minute)
	b = peercodec.AppendDuration(b, -time.Hour, time.Minute)
	b = binary.AppendUvarint(b, 7)
	rd := peercodec.NewReader(b)
	g.Expect(rd.ReadString(10)).To(Equal("a name"))
	g.Expect(rd.ReadDuration(time.Minute)).To(Equal(1500 * time.Millisecond))
	g.Expect(rd.ReadDuration(time.Minute)).To(Equal(time.Minute))
	g.Expect(rd.ReadDuration(time.Minute)).To(BeZero())
	g.Expect(rd.ReadUvarint(7)).To(BeEquivalentTo(7))
	g.Expect(rd.Finish()).To(Succeed())
}

func TestReaderKeepsFirstError(t *testing.T) {
	cases := map[string]func(rd *peercodec.Reader){
		"integer above the limit":    func(rd *peercodec.Reader) { rd.ReadUvarint(5) },
		"string above the limit":     func(rd *peercodec.Reader) { rd.ReadString(5) },
		"truncated string":           func(rd *peercodec.Reader) { rd.ReadString(10) },
		"truncated bytes":            func(rd *peercodec.Reader) { rd.ReadBytes(10) },
		"trailing bytes":             func(rd *peercodec.Reader) { rd.ReadUvarint(10) },
		"reason given by the caller": func(rd *peercodec.Reader) { rd.Fail("out of order"); rd.Fail("another") },
	}
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rd := peercodec.NewReader([]byte{6, 'a', 'b'})
			read(rd)
			var me *peercodec.MalformedError
			g.Expect(rd.Finish()).To(BeAssignableToTypeOf(me))
			g.Expect(rd.Failed()).To(BeTrue())
			g.Expect(rd.ReadUvarint(100)).To(BeZero())
			g.Expect(rd.ReadBytes(1)).To(BeNil())
		})
	}
}
