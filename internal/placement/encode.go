package placement

import (
	"encoding/binary"
	"math"
)

// A load is encoded as a bitmap of its non-zero fields, followed by these fields in the order of their bits. All numbers
// are varints. Fields that most loads have come first, so that the bitmap stays short. A change to the order needs a new
// version of every message that contains a load.
const (
	// scalarFields is the number of fields besides those of the two RiskByLimit.
	scalarFields = 8
	numFields    = scalarFields + 2*numClasses
	// signedFlag is the bit of the bitmap that is set when any field is negative. All fields are then signed varints.
	signedFlag = uint64(1) << numFields
	// thousandth is the unit of an encoded worth. A thousandth of a point is far below the accuracy of predictions.
	thousandth = point / 1000
	// maxThousandths is the largest number of thousandths that a Worth can hold.
	maxThousandths = math.MaxInt64 / thousandth
)

// EncodingError is returned for bytes that do not encode a load.
type EncodingError struct{ Reason string }

// Error includes the reason.
func (ee *EncodingError) Error() string { return "malformed load: " + ee.Reason }

// Rounded returns the load as Append encodes it. Each worth is rounded away from zero to a thousandth of a point, or down
// if a Worth cannot hold the larger value; all other fields are unchanged. Rounding a load again does not change it, so
// Plus and Minus stay exact for parsed loads. Minus does not undo a sum that was rounded after the addition, so a receiver
// replaces a load as a whole.
func (lo Load) Rounded() Load {
	fs := lo.fields()
	return loadFromFields(&fs)
}

// Append appends the encoded load to b.
func (lo Load) Append(b []byte) []byte {
	fs := lo.fields()
	bitmap := uint64(0)
	for bit, val := range fs {
		if val != 0 {
			bitmap |= 1 << bit
		}
		if val < 0 {
			bitmap |= signedFlag
		}
	}
	b = binary.AppendUvarint(b, bitmap)
	for _, val := range fs {
		b = appendField(b, val, bitmap)
	}
	return b
}

// appendField appends a field as a varint. It leaves out a zero, which has no bit in the bitmap.
func appendField(b []byte, val int64, bitmap uint64) []byte {
	if val == 0 {
		return b
	}
	if bitmap&signedFlag != 0 {
		return binary.AppendVarint(b, val)
	}
	return binary.AppendUvarint(b, uint64(val))
}

// ParseLoad parses a load that Append encoded, and returns the bytes after it. It allocates no memory for sizes that the
// input states.
func ParseLoad(b []byte) (Load, []byte, error) {
	bitmap, n := binary.Uvarint(b)
	if n <= 0 {
		return Load{}, nil, &EncodingError{Reason: "bitmap missing or malformed"}
	}
	if bitmap >= signedFlag<<1 {
		return Load{}, nil, &EncodingError{Reason: "bitmap has unknown fields"}
	}
	b = b[n:]
	var fs [numFields]int64
	for bit := range fs {
		if bitmap&(1<<bit) == 0 {
			continue
		}
		fs[bit], n = parseField(b, bitmap)
		if n <= 0 {
			return Load{}, nil, &EncodingError{Reason: "field truncated or out of range"}
		}
		b = b[n:]
	}
	if !worthsFit(&fs) {
		return Load{}, nil, &EncodingError{Reason: "worth out of range"}
	}
	return loadFromFields(&fs), b, nil
}

// parseField returns a field and the number of its bytes, which is 0 or below when the field is malformed.
func parseField(b []byte, bitmap uint64) (int64, int) {
	if bitmap&signedFlag != 0 {
		return binary.Varint(b)
	}
	val, n := binary.Uvarint(b)
	if val > math.MaxInt64 {
		return 0, 0
	}
	return int64(val), n
}

// worthsFit reports whether every worth, in thousandths, fits into a Worth, which counts millionths.
func worthsFit(fs *[numFields]int64) bool {
	for _, val := range fs[scalarFields:] {
		if val > maxThousandths || val < -maxThousandths {
			return false
		}
	}
	return true
}

// fields returns the fields in the order of their bits, with worths in thousandths.
func (lo *Load) fields() [numFields]int64 {
	fs := [numFields]int64{
		int64(lo.Decoding), lo.ContextTokens, lo.MemoryTokens, int64(lo.Prefilling),
		lo.WholePrefill.Tokens, lo.WholePrefill.Pairs, lo.SplitPrefill.Tokens, lo.SplitPrefill.Pairs,
	}
	for cl := range numClasses {
		fs[scalarFields+cl] = toThousandths(lo.PauseRisk[cl])
		fs[scalarFields+numClasses+cl] = toThousandths(lo.FirstTokenRisk[cl])
	}
	return fs
}

// loadFromFields is the inverse of fields, except for the rounding of worths.
func loadFromFields(fs *[numFields]int64) Load {
	lo := Load{
		Decoding: int(fs[0]), ContextTokens: fs[1], MemoryTokens: fs[2], Prefilling: int(fs[3]),
		WholePrefill: Backlog{Tokens: fs[4], Pairs: fs[5]},
		SplitPrefill: Backlog{Tokens: fs[6], Pairs: fs[7]},
	}
	for cl := range numClasses {
		lo.PauseRisk[cl] = Worth(fs[scalarFields+cl]) * thousandth
		lo.FirstTokenRisk[cl] = Worth(fs[scalarFields+numClasses+cl]) * thousandth
	}
	return lo
}

// toThousandths converts a worth to thousandths of a point, rounded away from zero as far as a Worth can hold the result.
func toThousandths(wo Worth) int64 {
	num := int64(wo) / thousandth
	switch rest := int64(wo) % thousandth; {
	case rest > 0:
		return min(num+1, maxThousandths)
	case rest < 0:
		return max(num-1, -maxThousandths)
	}
	return num
}
