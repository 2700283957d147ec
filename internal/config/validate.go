package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// validator compares a decoded JSON tree with the types of the settings and collects all faults.
type validator struct {
	faults Faults
}

func (vd *validator) addFault(path, value, want string) {
	if path == "" {
		path = documentPath
	}
	vd.faults = append(vd.faults, &Fault{Path: path, Value: value, Want: want})
}

// validate returns the parts of a value that can be decoded as the type.
func (vd *validator) validate(path string, v any, t reflect.Type) any {
	if v == nil {
		// The JSON decoder treats null as an absent field.
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

// object returns the fields that can be decoded. If the value is not an object, it returns an empty object, because the presence of a
// section can matter by itself: the gateway section determines the role.
func (vd *validator) object(path string, v any, t reflect.Type) any {
	valid := map[string]any{}
	found, ok := v.(map[string]any)
	if !ok {
		vd.addFault(path, kindOf(v), expectedOf(t))
		return valid
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		field, ok := findField(t, name)
		if !ok {
			vd.addFault(joinPath(path, name), "unknown field", "a known one; the nearest is "+joinPath(path, nearestPath(t, name)))
			continue
		}
		// Paths contain the known name, as those of later checks do, even if the name in the document differs in case.
		valid[name] = vd.validate(joinPath(path, nameOf(field)), found[name], field.Type)
	}
	return valid
}

// list returns the entries with null in place of those that cannot be decoded, so that the others keep their indices.
func (vd *validator) list(path string, v any, entry reflect.Type) any {
	found, ok := v.([]any)
	if !ok {
		vd.addFault(path, kindOf(v), "a list")
		return nil
	}
	valid := make([]any, len(found))
	for i, e := range found {
		valid[i] = vd.validate(path+"["+strconv.Itoa(i)+"]", e, entry)
	}
	return valid
}

// scalar returns a value if it can be decoded as the type, and nil otherwise.
func (vd *validator) scalar(path string, v any, t reflect.Type) any {
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, reflect.New(t).Interface())
	}
	if err == nil {
		return v
	}
	var fault *Fault
	if errors.As(err, &fault) {
		vd.addFault(path, fault.Value, fault.Want)
		return nil
	}
	vd.addFault(path, foundOf(v, t), expectedOf(t))
	return nil
}

// foundOf describes a value of the wrong type for a fault. It shows numbers only where a number is expected, because the settings
// contain secrets, and one consisting of digits may have been written without quotes.
func foundOf(v any, t reflect.Type) string {
	number, ok := v.(json.Number)
	if ok && (isInteger(t) || isFloat(t)) && t != reflect.TypeFor[Duration]() {
		return number.String()
	}
	return kindOf(v)
}

// kindOf returns the name of the kind of a JSON value other than null.
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

// expectedOf describes the values that a type accepts.
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
