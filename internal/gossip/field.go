package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxAge is the largest age on the wire: far beyond every use of an age, and far from overflowing a Duration.
const maxAge = time.Hour

// maxUptimeMillis is the largest sender uptime that is accepted: some thirty years, which does not overflow a Duration.
const maxUptimeMillis = 1 << 40

func toMicros(d time.Duration) uint64 { return uint64(max(0, min(d, maxAge)).Microseconds()) }

func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAge.Microseconds()))) * time.Microsecond
}

// field is one decoded field of a message. Either varint or bytes is set, depending on the wire type.
type field struct {
	num    protowire.Number
	varint uint64
	bytes  []byte
}

// eachField calls set for each field of a message. Fields of other wire types are passed with number 0, which no message uses.
func eachField(b []byte, set func(field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errors.Wrap(&MalformedError{Message: protowire.ParseError(n).Error()}, "read tag")
		}
		b = b[n:]
		f := field{num: num}
		switch typ {
		case protowire.VarintType:
			f.varint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			f.num = 0
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return errors.Wrap(&MalformedError{Message: protowire.ParseError(n).Error()}, "read field")
		}
		b = b[n:]
		if err := set(f); err != nil {
			return err
		}
	}
	return nil
}

func appendVarint(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendBool(b []byte, num protowire.Number, v bool) []byte {
	return appendVarint(b, num, protowire.EncodeBool(v))
}

func appendBytes(b []byte, num protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return appendMessage(b, num, v)
}

// appendMessage appends v even if it is empty: a message without fields differs from an absent one.
func appendMessage(b []byte, num protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, num, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}
