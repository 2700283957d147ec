package config

import (
	"iter"
	"reflect"
	"strings"
)

// fields yields the JSON names and the fields of a struct type.
func fields(t reflect.Type) iter.Seq2[string, reflect.StructField] {
	return func(yield func(string, reflect.StructField) bool) {
		for i := range t.NumField() {
			fd := t.Field(i)
			if !yield(nameOf(fd), fd) {
				return
			}
		}
	}
}

func nameOf(fd reflect.StructField) string {
	name, _, _ := strings.Cut(fd.Tag.Get("json"), ",")
	return name
}

// findField returns the field of a JSON name. As in the decoder, a name that differs only in case is known, and the
// exact one goes first.
func findField(t reflect.Type, name string) (reflect.StructField, bool) {
	var folded *reflect.StructField
	for known, fd := range fields(t) {
		if known == name {
			return fd, true
		}
		if folded == nil && strings.EqualFold(known, name) {
			folded = &fd
		}
	}
	if folded == nil {
		return reflect.StructField{}, false
	}
	return *folded, true
}

// deeper is what each object between a name and a candidate adds to their distance, in edits, so that
// a typing mistake in a field of the same object goes before a similar name in another.
const nestingCost = 2

// nearest returns the path, in an object of the type, of the field that is written most like the name; the first one in
// the order of the struct among equals.
func nearestPath(t reflect.Type, name string) string {
	path, _ := searchNearest(t, strings.ToLower(name))
	return path
}

func searchNearest(t reflect.Type, name string) (path string, least int) {
	for known, fd := range fields(t) {
		if far := editDistance(name, known); path == "" || far < least {
			path, least = known, far
		}
		inner := fd.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() != reflect.Struct {
			continue
		}
		if below, far := searchNearest(inner, name); far+nestingCost < least {
			path, least = joinPath(known, below), far+nestingCost
		}
	}
	return path, least
}

// distance returns how many characters must be put in, taken out or replaced to turn one name into the other.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
