package config

import (
	"iter"
	"reflect"
	"strings"
)

// fields yields the fields of a struct type with their JSON names.
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

// findField returns the field with a JSON name. Like encoding/json, it accepts names that differ only in case and prefers an exact
// match.
func findField(t reflect.Type, name string) (reflect.StructField, bool) {
	var caseInsensitive *reflect.StructField
	for known, fd := range fields(t) {
		if known == name {
			return fd, true
		}
		if caseInsensitive == nil && strings.EqualFold(known, name) {
			caseInsensitive = &fd
		}
	}
	if caseInsensitive == nil {
		return reflect.StructField{}, false
	}
	return *caseInsensitive, true
}

// nestingCost is added to the edit distance of a candidate for each level of nesting, so that a mistyped field of the same object is
// preferred to a similar name in a nested object.
const nestingCost = 2

// nearestPath returns the path, relative to an object of the type, of the field whose name is most similar to the given one. Of equally
// similar fields, the first in struct order is returned.
func nearestPath(t reflect.Type, name string) string {
	path, _ := searchNearest(t, strings.ToLower(name))
	return path
}

func searchNearest(t reflect.Type, name string) (path string, minDistance int) {
	for known, fd := range fields(t) {
		if dist := editDistance(name, known); path == "" || dist < minDistance {
			path, minDistance = known, dist
		}
		inner := fd.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() != reflect.Struct {
			continue
		}
		if below, dist := searchNearest(inner, name); dist+nestingCost < minDistance {
			path, minDistance = joinPath(known, below), dist+nestingCost
		}
	}
	return path, minDistance
}

// editDistance returns the Levenshtein distance of two names, in bytes.
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
