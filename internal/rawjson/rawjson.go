// Package rawjson splits a JSON document into its parts without decoding them. encoding/json rejects a document as a whole if one part of it is
// nested too deeply or contains a byte that JSON does not allow, although the other parts can be read.
package rawjson

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Value is a JSON value as it was received, without white space around it. Only its structure has been checked.
type Value []byte

// SyntaxError means that the structure of a value could not be read.
type SyntaxError struct {
	// Offset is the number of bytes before the error, Want what was expected there.
	Offset int
	Want   string
}

// Error includes the offset.
func (se *SyntaxError) Error() string {
	return "no " + se.Want + " after " + strconv.Itoa(se.Offset) + " bytes of JSON"
}

// Members calls visit for each member of an object, in order. A name that cannot be decoded is empty.
func (v Value) Members(visit func(name string, value Value)) error {
	sc := scanner{data: v}
	return sc.list('{', '}', func() error {
		raw, err := sc.value()
		if err != nil {
			return err
		}
		if !sc.skip(':') {
			return &SyntaxError{Offset: sc.at, Want: "colon"}
		}
		value, err := sc.value()
		if err != nil {
			return err
		}
		var name string
		_ = json.Unmarshal(raw, &name) // the name stays empty
		visit(name, value)
		return nil
	})
}

// Member returns the member of an object with a name, the last of several; nil if there is none or v is no object.
func (v Value) Member(name string) Value {
	var found Value
	err := v.Members(func(nm string, value Value) {
		if nm == name {
			found = value
		}
	})
	if err != nil {
		return nil
	}
	return found
}

// Elements returns the elements of an array; none for null and an absent value.
func (v Value) Elements() ([]Value, error) {
	if len(v) == 0 || bytes.Equal(v, []byte("null")) {
		return nil, nil
	}
	var all []Value
	sc := scanner{data: v}
	err := sc.list('[', ']', func() error {
		value, err := sc.value()
		all = append(all, value)
		return err
	})
	return all, err
}

// scanner reads the structure of a document.
type scanner struct {
	data []byte
	at   int
}

// skipSpace skips white space.
func (sc *scanner) skipSpace() {
	for sc.at < len(sc.data) && isSpace(sc.data[sc.at]) {
		sc.at++
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// skip skips white space and one byte, and reports whether that byte was next.
func (sc *scanner) skip(want byte) bool {
	sc.skipSpace()
	if sc.at < len(sc.data) && sc.data[sc.at] == want {
		sc.at++
		return true
	}
	return false
}

// list reads a list with delimiters around it and commas between its items, each of which item reads.
func (sc *scanner) list(start, end byte, item func() error) error {
	if !sc.skip(start) {
		return &SyntaxError{Offset: sc.at, Want: strconv.QuoteRune(rune(start))}
	}
	if sc.skip(end) {
		return nil
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if sc.skip(end) {
			return nil
		}
		if !sc.skip(',') {
			return &SyntaxError{Offset: sc.at, Want: "comma"}
		}
	}
}

// value skips a value, however deeply nested, and returns it.
func (sc *scanner) value() (Value, error) {
	sc.skipSpace()
	start := sc.at
	for depth := 0; sc.at < len(sc.data); {
		switch b := sc.data[sc.at]; {
		case b == '"':
			if !sc.skipString() {
				return nil, &SyntaxError{Offset: sc.at, Want: "end of a string"}
			}
		case b == '{' || b == '[':
			depth++
			sc.at++
			continue
		case b == '}' || b == ']':
			if depth == 0 {
				return nil, &SyntaxError{Offset: sc.at, Want: "value"}
			}
			depth--
			sc.at++
		case depth > 0:
			sc.at++
		default:
			sc.skipScalar()
			if sc.at == start {
				return nil, &SyntaxError{Offset: sc.at, Want: "value"}
			}
		}
		if depth == 0 {
			return sc.data[start:sc.at], nil
		}
	}
	return nil, &SyntaxError{Offset: sc.at, Want: "end of a value"}
}

// skipString skips a string, and reports whether it has an end.
func (sc *scanner) skipString() bool {
	for sc.at++; sc.at < len(sc.data); sc.at++ {
		switch sc.data[sc.at] {
		case '\\':
			sc.at++
		case '"':
			sc.at++
			return true
		}
	}
	sc.at = len(sc.data)
	return false
}

// skipScalar skips a number or a word.
func (sc *scanner) skipScalar() {
	for sc.at < len(sc.data) {
		switch b := sc.data[sc.at]; {
		case isSpace(b), b == ',', b == ':', b == '"', b == '{', b == '}', b == '[', b == ']':
			return
		}
		sc.at++
	}
}
