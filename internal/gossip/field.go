package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxAge is the longest age that is told: far beyond every use of an age, and safe to count in a Duration.
const maxAge = time.Hour

// maxSent is the longest time since a start that is taken, in milliseconds: some thirty years, and safe to count in a Duration.
const maxUptimeMillis = 1 << 40

func toMicros(d time.Duration) uint64 { return uint64(max(0, min(d, maxAge)).Microseconds()) }

func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAge.Microseconds()))) * time.Microsecond
}

// field is one field of a message; which of varint and bytes is set depends on its wire type.
type field struct {
	num    protowire.Number
	varint uint64
	bytes  []byte
}

// eachField calls take for each field; fields of other wire types are passed over.
func eachField(b []byte, take func(field) error) error {
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
		if err := take(f); err != nil {
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

// appendMessage also appends a message without fields: unlike an empty string it is not the same as none.
func appendMessage(b []byte, num protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, num, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}
