package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// jsonSpace is what JSON takes for white space.
const jsonWhitespace = " \t\r\n"

// wantDocument is what is wanted of a document that is not JSON or not an object.
const wantDocument = "settings as `silvermount schema` prints them"

// decodeTree returns the only value of a JSON document. Numbers are kept as they are written.
func decodeTree(b []byte) (any, Faults) {
	var v any
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		return nil, Faults{decodeFault(b, err)}
	}
	if left := bytes.TrimLeft(b[dec.InputOffset():], jsonWhitespace); len(left) > 0 {
		at := position(b, int64(len(b)-len(left)+1))
		return nil, Faults{{Path: documentPath, Value: "more after the settings, at " + at, Want: wantDocument}}
	}
	return v, nil
}

// decodeFault returns the fault of a whole document that does not decode.
func decodeFault(b []byte, err error) *Fault {
	ft := &Fault{Path: documentPath, Value: err.Error(), Want: wantDocument}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		ft.Value += ", at " + position(b, se.Offset)
	}
	return ft
}

// position returns the line and column of the last of the first bytes of a document.
func position(b []byte, bytesRead int64) string {
	before := b[:min(max(0, bytesRead-1), int64(len(b)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// rest decodes what is left of a tree when all that has faults is taken out.
func decodeValid(tree any) Settings {
	var s Settings
	b, err := json.Marshal(tree)
	if err != nil {
		// A tree that was decoded holds nothing that JSON lacks.
		return Settings{}
	}
	if json.Unmarshal(b, &s) != nil {
		// Every value was decoded by itself before, so this does not happen; the faults are reported in any case.
		return Settings{}
	}
	return s
}
