package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// jsonWhitespace holds the characters that JSON treats as white space.
const jsonWhitespace = " \t\r\n"

// wantDocument is the Want of faults that concern the whole document.
const wantDocument = "settings as `silvermount schema` prints them"

// decodeTree decodes a JSON document, which must contain exactly one value. Numbers are kept as written.
func decodeTree(b []byte) (any, Faults) {
	var v any
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		return nil, Faults{decodeFault(b, err)}
	}
	if trailing := bytes.TrimLeft(b[dec.InputOffset():], jsonWhitespace); len(trailing) > 0 {
		at := position(b, int64(len(b)-len(trailing)+1))
		return nil, Faults{{Path: documentPath, Value: "more after the settings, at " + at, Want: wantDocument}}
	}
	return v, nil
}

// decodeFault returns the fault for a document that cannot be decoded.
func decodeFault(b []byte, err error) *Fault {
	ft := &Fault{Path: documentPath, Value: err.Error(), Want: wantDocument}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		ft.Value += ", at " + position(b, se.Offset)
	}
	return ft
}

// position returns the line and column of the last byte read, given the number of bytes read from the start of the document.
func position(b []byte, bytesRead int64) string {
	before := b[:min(max(0, bytesRead-1), int64(len(b)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// decodeValid decodes a tree from which everything with faults was removed.
func decodeValid(tree any) Settings {
	var s Settings
	b, err := json.Marshal(tree)
	if err != nil {
		// Cannot happen: a tree decoded from JSON can be encoded again.
		return Settings{}
	}
	if json.Unmarshal(b, &s) != nil {
		// Cannot happen, because every value was decoded separately before. The faults are reported in any case.
		return Settings{}
	}
	return s
}
