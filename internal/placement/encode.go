package placement

import (
	"encoding/binary"
	"math"
)

// A load is written as a bitmap of the fields that are not zero, and then these fields in the order of their bits. All
// numbers are variable-length integers. The order puts the fields that most loads have first, so that the bitmap stays
// short. It must not change without the version of what holds a load.
const (
	// plainFields is the number of fields of a Load besides its classes.
	scalarFields = 8
	// loadFields is the number of all fields.
	numFields = scalarFields + 2*numClasses
	// signedFields is the bit of the bitmap that says that a field is negative; all fields are then written with signs.
	signedFlag = uint64(1) << numFields
	// thousandth is the unit of worth in writing: thousandths of a point are far below what predictions tell apart.
	thousandth = point / 1000
	// mostThousandths is the largest number of them that a Worth holds.
	maxThousandths = math.MaxInt64 / thousandth
)

// EncodingError says that bytes hold no load.
type EncodingError struct{ Reason string }

// Error names the reason.
func (ee *EncodingError) Error() string { return "malformed load: " + ee.Reason }

// Rounded returns the load as Append writes it: each worth is rounded away from zero to a thousandth of a point (down
// where a Worth holds no larger one), and all else is as it was. A rounded load does not change when it is rounded
// again, so Plus and Minus of loads that were read are as exact as of others. Minus does not undo a sum of loads that
// were rounded after they were added up; who reads a load replaces it as a whole.
func (lo Load) Rounded() Load {
	fs := lo.fields()
	return loadFromFields(&fs)
}

// Append appends the load to bytes.
func (lo Load) Append(b []byte) []byte {
	fs := lo.fields()
	bitmap := uint64(0)
	for no, val := range fs {
		if val != 0 {
			bitmap |= 1 << no
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

// appendField appends a field, unless it is zero.
func appendField(b []byte, val int64, bitmap uint64) []byte {
	if val == 0 {
		return b
	}
	if bitmap&signedFlag != 0 {
		return binary.AppendVarint(b, val)
	}
	return binary.AppendUvarint(b, uint64(val))
}

// ReadLoad reads a load that Append wrote, and returns the bytes after it. It takes no memory for what bytes claim.
func ParseLoad(b []byte) (Load, []byte, error) {
	bitmap, n := binary.Uvarint(b)
	if n <= 0 {
		return Load{}, nil, &EncodingError{Reason: "no bitmap"}
	}
	if bitmap >= signedFlag<<1 {
		return Load{}, nil, &EncodingError{Reason: "unknown fields"}
	}
	b = b[n:]
	var fs [numFields]int64
	for no := range fs {
		if bitmap&(1<<no) == 0 {
			continue
		}
		fs[no], n = parseField(b, bitmap)
		if n <= 0 {
			return Load{}, nil, &EncodingError{Reason: "a field that is cut off or too large"}
		}
		b = b[n:]
	}
	if !worthsFit(&fs) {
		return Load{}, nil, &EncodingError{Reason: "a worth that is too large"}
	}
	return loadFromFields(&fs), b, nil
}

// readField returns a field and its number of bytes, which is not above 0 when there is none.
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

// worthsFit reports whether each worth is one when it is counted in millionths.
func worthsFit(fs *[numFields]int64) bool {
	for _, val := range fs[scalarFields:] {
		if val > maxThousandths || val < -maxThousandths {
			return false
		}
	}
	return true
}

// fields returns the fields in the order of their bits, worths in thousandths.
func (lo *Load) fields() [numFields]int64 {
	fs := [numFields]int64{
		int64(lo.Decoding), lo.ContextTokens, lo.Memory, int64(lo.Prefilling),
		lo.WholePrefill.Tokens, lo.WholePrefill.Pairs, lo.SplitPrefill.Tokens, lo.SplitPrefill.Pairs,
	}
	for cl := range numClasses {
		fs[scalarFields+cl] = toThousandths(lo.PauseRisk[cl])
		fs[scalarFields+numClasses+cl] = toThousandths(lo.FirstTokenRisk[cl])
	}
	return fs
}

// loadOf returns the load that has the fields.
func loadFromFields(fs *[numFields]int64) Load {
	lo := Load{
		Decoding: int(fs[0]), ContextTokens: fs[1], Memory: fs[2], Prefilling: int(fs[3]),
		WholePrefill: Backlog{Tokens: fs[4], Pairs: fs[5]},
		SplitPrefill: Backlog{Tokens: fs[6], Pairs: fs[7]},
	}
	for cl := range numClasses {
		lo.PauseRisk[cl] = Worth(fs[scalarFields+cl]) * thousandth
		lo.FirstTokenRisk[cl] = Worth(fs[scalarFields+numClasses+cl]) * thousandth
	}
	return lo
}

// thousandths returns a worth in thousandths of a point, rounded away from zero as far as a Worth holds it.
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
