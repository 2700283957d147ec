package peerbytes_test

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/peerbytes"
)

func TestReaderReadsAppendedValues(t *testing.T) {
	g := NewWithT(t)
	b := peerbytes.AppendString(nil, "a name")
	b = peerbytes.AppendDuration(b, 1500*time.Millisecond, time.Minute)
	b = peerbytes.AppendDuration(b, time.Hour, time.Minute)
	b = peerbytes.AppendDuration(b, -time.Hour, time.Minute)
	b = binary.AppendUvarint(b, 7)
	rd := peerbytes.NewReader(b)
	g.Expect(rd.ReadString(10)).To(Equal("a name"))
	g.Expect(rd.ReadDuration(time.Minute)).To(Equal(1500 * time.Millisecond))
	g.Expect(rd.ReadDuration(time.Minute)).To(Equal(time.Minute))
	g.Expect(rd.ReadDuration(time.Minute)).To(BeZero())
	g.Expect(rd.ReadUvarint(7)).To(BeEquivalentTo(7))
	g.Expect(rd.Finish()).To(Succeed())
}

func TestReaderKeepsFirstError(t *testing.T) {
	cases := map[string]func(rd *peerbytes.Reader){
		"integer above the limit":    func(rd *peerbytes.Reader) { rd.ReadUvarint(5) },
		"string above the limit":     func(rd *peerbytes.Reader) { rd.ReadString(5) },
		"truncated string":           func(rd *peerbytes.Reader) { rd.ReadString(10) },
		"truncated bytes":            func(rd *peerbytes.Reader) { rd.ReadBytes(10) },
		"trailing bytes":             func(rd *peerbytes.Reader) { rd.ReadUvarint(10) },
		"reason given by the caller": func(rd *peerbytes.Reader) { rd.Fail("out of order"); rd.Fail("another") },
	}
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rd := peerbytes.NewReader([]byte{6, 'a', 'b'})
			read(rd)
			var me *peerbytes.MalformedError
			g.Expect(rd.Finish()).To(BeAssignableToTypeOf(me))
			g.Expect(rd.Failed()).To(BeTrue())
			g.Expect(rd.ReadUvarint(100)).To(BeZero())
			g.Expect(rd.ReadBytes(1)).To(BeNil())
		})
	}
}
