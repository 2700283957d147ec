package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// reader compares a decoded JSON tree with the types of the settings and collects every fault.
type reader struct {
	faults Faults
}

func (rd *reader) fault(path, value, want string) {
	if path == "" {
		path = documentPath
	}
	rd.faults = append(rd.faults, &Fault{Path: path, Value: value, Want: want})
}

// read returns what of a value decodes as the type.
func (rd *reader) read(path string, v any, t reflect.Type) any {
	if v == nil {
		// The decoder takes null for a field that is left out.
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return rd.read(path, v, t.Elem())
	case reflect.Struct:
		return rd.object(path, v, t)
	case reflect.Slice:
		return rd.list(path, v, t.Elem())
	default:
		return rd.leaf(path, v, t)
	}
}

// object returns the fields that decode. It returns an empty object in place of another value: that a section is there
// may say more than what is in it, as the gateway's section gives the role.
func (rd *reader) object(path string, v any, t reflect.Type) any {
	sound := map[string]any{}
	found, ok := v.(map[string]any)
	if !ok {
		rd.fault(path, kindOf(v), wantOf(t))
		return sound
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		fd, ok := findField(t, name)
		if !ok {
			rd.fault(join(path, name), "unknown field", "a known one; the nearest is "+join(path, nearest(t, name)))
			continue
		}
		// Paths hold the known name, as those of the checks do, also where the document's differs in case.
		sound[name] = rd.read(join(path, nameOf(fd)), found[name], fd.Type)
	}
	return sound
}

// list returns the entries, with null in place of those that do not decode: the others keep their places.
func (rd *reader) list(path string, v any, entry reflect.Type) any {
	found, ok := v.([]any)
	if !ok {
		rd.fault(path, kindOf(v), "a list")
		return nil
	}
	sound := make([]any, len(found))
	for i, e := range found {
		sound[i] = rd.read(path+"["+strconv.Itoa(i)+"]", e, entry)
	}
	return sound
}

// leaf returns a value if the decoder takes it for the type.
func (rd *reader) leaf(path string, v any, t reflect.Type) any {
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, reflect.New(t).Interface())
	}
	if err == nil {
		return v
	}
	var own *Fault
	if errors.As(err, &own) {
		rd.fault(path, own.Value, own.Want)
		return nil
	}
	rd.fault(path, valueOf(v, t), wantOf(t))
	return nil
}

// valueOf describes a value of the wrong type. It shows numbers only where numbers are wanted: the settings hold
// secrets, and one may be written without its quotes.
func valueOf(v any, t reflect.Type) string {
	number, ok := v.(json.Number)
	if ok && (isWhole(t) || isNumber(t)) && t != reflect.TypeFor[Duration]() {
		return number.String()
	}
	return kindOf(v)
}

// kindOf names the kind of a JSON value that is not null.
func kindOf(v any) string {
	switch v.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	default:
		return "true or false"
	}
}

// wantOf says what is wanted of the type.
func wantOf(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return wantDuration
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.String:
		return "a string"
	case isWhole(t):
		return "a whole number of " + strconv.Itoa(t.Bits()) + " bits"
	case isNumber(t):
		return "a number"
	default:
		return "a " + t.String()
	}
}

func isWhole(t reflect.Type) bool {
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64
}

func isNumber(t reflect.Type) bool {
	return t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64
}
