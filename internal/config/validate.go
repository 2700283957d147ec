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
type validator struct {
	faults Faults
}

func (vd *validator) addFault(path, value, want string) {
	if path == "" {
		path = documentPath
	}
	vd.faults = append(vd.faults, &Fault{Path: path, Value: value, Want: want})
}

// read returns what of a value decodes as the type.
func (vd *validator) validate(path string, v any, t reflect.Type) any {
	if v == nil {
		// The decoder takes null for a field that is left out.
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return vd.validate(path, v, t.Elem())
	case reflect.Struct:
		return vd.object(path, v, t)
	case reflect.Slice:
		return vd.list(path, v, t.Elem())
	default:
		return vd.scalar(path, v, t)
	}
}

// object returns the fields that decode. It returns an empty object in place of another value: that a section is there
// may say more than what is in it, as the gateway's section gives the role.
func (vd *validator) object(path string, v any, t reflect.Type) any {
	sound := map[string]any{}
	found, ok := v.(map[string]any)
	if !ok {
		vd.addFault(path, kindOf(v), expectedOf(t))
		return sound
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		fd, ok := findField(t, name)
		if !ok {
			vd.addFault(joinPath(path, name), "unknown field", "a known one; the nearest is "+joinPath(path, nearestPath(t, name)))
			continue
		}
		// Paths hold the known name, as those of the checks do, also where the document's differs in case.
		sound[name] = vd.validate(joinPath(path, nameOf(fd)), found[name], fd.Type)
	}
	return sound
}

// list returns the entries, with null in place of those that do not decode: the others keep their places.
func (vd *validator) list(path string, v any, entry reflect.Type) any {
	found, ok := v.([]any)
	if !ok {
		vd.addFault(path, kindOf(v), "a list")
		return nil
	}
	sound := make([]any, len(found))
	for i, e := range found {
		sound[i] = vd.validate(path+"["+strconv.Itoa(i)+"]", e, entry)
	}
	return sound
}

// leaf returns a value if the decoder takes it for the type.
func (vd *validator) scalar(path string, v any, t reflect.Type) any {
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, reflect.New(t).Interface())
	}
	if err == nil {
		return v
	}
	var own *Fault
	if errors.As(err, &own) {
		vd.addFault(path, own.Value, own.Want)
		return nil
	}
	vd.addFault(path, foundOf(v, t), expectedOf(t))
	return nil
}

// valueOf describes a value of the wrong type. It shows numbers only where numbers are wanted: the settings hold
// secrets, and one may be written without its quotes.
func foundOf(v any, t reflect.Type) string {
	number, ok := v.(json.Number)
	if ok && (isInteger(t) || isFloat(t)) && t != reflect.TypeFor[Duration]() {
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
func expectedOf(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return wantDuration
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.String:
		return "a string"
	case isInteger(t):
		return "a whole number of " + strconv.Itoa(t.Bits()) + " bits"
	case isFloat(t):
		return "a number"
	default:
		return "a " + t.String()
	}
}

func isInteger(t reflect.Type) bool {
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64
}

func isFloat(t reflect.Type) bool {
	return t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64
}
