package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// messages returns the error text of each fault.
func messages(fs Faults) []string {
	out := make([]string, len(fs))
	for i, ft := range fs {
		out[i] = ft.Error()
	}
	return out
}

func TestParse(t *testing.T) {
	const unknown = `found "unknown field", want a known one; the nearest is `
	const document = ", want settings as `silvermount schema` prints them"
	tests := map[string]struct {
		in   string
		want []string
	}{
		"valid":                {in: `{"instance":"a1","stop":{"drain":"5s"}}`},
		"valid gateway":        {in: `{"instance":"a1","gateway":{"seeds":["10.0.0.1:1"],"retry_share":0.5,"grace":"8s"}}`},
		"null":                 {in: `{"instance":null,"stop":null,"gateway":null,"peers":{"seeds":[null]}}`},
		"name in another case": {in: `{"Instance":"a1"}`},
		"unknown field":        {in: `{"instant":"a1"}`, want: []string{"instant: " + unknown + "instance"}},
		"unknown in a section": {
			in: `{"stop":{"drian":"5s"}}`, want: []string{"stop.drian: " + unknown + "stop.drain"},
		},
		"unknown, known in a section": {
			in: `{"max_body_bytes":5}`, want: []string{"max_body_bytes: " + unknown + "callers.max_body_bytes"},
		},
		"unknown in the gateway": {
			in: `{"gateway":{"stor":"x"}}`, want: []string{"gateway.stor: " + unknown + "gateway.store"},
		},
		"bad duration": {
			in: `{"stop":{"drain":"soon"}}`, want: []string{`stop.drain: found "soon", want a duration such as 500ms`},
		},
		"number for a duration": {
			in: `{"gateway":{"grace":8}}`, want: []string{`gateway.grace: found "a number", want a duration such as 500ms`},
		},
		"wrong type": {
			in: `{"routing":{"max_attempts":"x"}}`, want: []string{`routing.max_attempts: found "a string", want a whole number of 64 bits`},
		},
		"wrong type, name in another case": {
			in: `{"Routing":{"Max_Attempts":[]}}`, want: []string{`routing.max_attempts: found "a list", want a whole number of 64 bits`},
		},
		"fraction": {
			in: `{"gateway":{"max_body_bytes":1.5}}`, want: []string{`gateway.max_body_bytes: found "1.5", want a whole number of 64 bits`},
		},
		"too large": {
			in:   `{"callers":{"max_body_bytes":9223372036854775808},"routing":{"long_share":1e999}}`,
			want: []string{`callers.max_body_bytes: found "9223372036854775808", want a whole number of 64 bits`, `routing.long_share: found "1e999", want a number`},
		},
		"secret is not shown": {
			in: `{"operators":{"key":1234567890}}`, want: []string{`operators.key: found "a number", want a string`},
		},
		"entry of a list": {
			in: `{"peers":{"seeds":["a",1,{}]}}`, want: []string{`peers.seeds[1]: found "a number", want a string`, `peers.seeds[2]: found "an object", want a string`},
		},
		"not a list":    {in: `{"gateway":{"seeds":"a"}}`, want: []string{`gateway.seeds: found "a string", want a list`}},
		"not a section": {in: `{"gateway":true}`, want: []string{`gateway: found "true or false", want an object`}},
		"not an object": {in: `[]`, want: []string{`(document): found "a list", want an object`}},
		"not JSON": {
			in: "{\n \"stop\": {]", want: []string{`(document): found "invalid character ']' looking for beginning of object key string, at line 2, column 11"` + document},
		},
		"empty":     {in: " ", want: []string{`(document): found "EOF"` + document}},
		"truncated": {in: `{"stop":{`, want: []string{`(document): found "unexpected EOF"` + document}},
		"trailing data": {
			in: "{}\n}", want: []string{`(document): found "more after the settings, at line 2, column 1"` + document},
		},
		"several faults": {
			in: `{"stop":{"drain":"soon","lag":1},"zone":"a","routing":{"policy":7}}`,
			want: []string{
				`routing.policy: found "a number", want a string`,
				`stop.drain: found "soon", want a duration such as 500ms`,
				"stop.lag: " + unknown + "stop.drain",
				"zone: " + unknown + "stop",
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse([]byte(tc.in))
			if tc.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var fs Faults
			g.Expect(errors.As(err, &fs)).To(BeTrue(), "%v", err)
			g.Expect(messages(fs)).To(Equal(tc.want))
		})
	}
}

// TestParseFindsFaultInDuplicateField has a fault in the first of two fields with the same name. The tree contains only the second, so
// that only the strict decoder finds the fault.
func TestParseFindsFaultInDuplicateField(t *testing.T) {
	g := NewWithT(t)
	_, err := Parse([]byte(`{"stop":{"drian":"5s"},"stop":{"drain":"5s"}}`))
	g.Expect(err).To(MatchError(ContainSubstring("drian")))
	g.Expect(err).To(BeAssignableToTypeOf(Faults{}))
}

func TestParseKeepsValidFields(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse([]byte(`{"instance":"a1","availability_zone":5,"stop":{"drain":"soon","balancer_lag":"1s"},
		"peers":{"seeds":["10.0.0.1:1",2,"10.0.0.3:1"]},"callers":7,"gateway":{"stor":"x","retry_floor":3}}`))
	g.Expect(err).To(HaveOccurred())
	g.Expect(s).To(Equal(Settings{
		Instance: "a1",
		Stop:     Stop{BalancerLag: Duration(time.Second)},
		Peers:    Peers{Seeds: []string{"10.0.0.1:1", "", "10.0.0.3:1"}},
		Gateway:  &Gateway{RetryFloor: 3},
	}))
	s, err = Parse([]byte(`{"gateway":7}`))
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Role()).To(Equal(RoleGateway))
}

// TestParseAgreesWithStrictDecoder checks that Parse refuses exactly the documents that the strict JSON decoder refuses.
func TestParseAgreesWithStrictDecoder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		b, err := json.Marshal(drawDocument(rt, reflect.TypeFor[Settings]()))
		g.Expect(err).NotTo(HaveOccurred())
		var want Settings
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		decodeErr := dec.Decode(&want)
		s, err := Parse(b)
		if decodeErr != nil {
			g.Expect(err).To(BeAssignableToTypeOf(Faults{}), string(b))
			return
		}
		g.Expect(err).NotTo(HaveOccurred(), string(b))
		g.Expect(s).To(Equal(want))
	})
}

// drawDocument draws a value that mostly fits the type. Some parts are of another type, and some names are unknown.
func drawDocument(rt *rapid.T, t reflect.Type) any {
	if rapid.IntRange(0, 19).Draw(rt, "odd") == 0 {
		return rapid.SampledFrom([]any{nil, true, "x", "3s", 1.5, -2, 1e300, []any{}, map[string]any{}, map[string]any{"x": 1}}).Draw(rt, "value")
	}
	switch {
	case t == reflect.TypeFor[Duration]():
		return rapid.SampledFrom([]string{"0s", "1s", "-3m", "250ms"}).Draw(rt, "duration")
	case t.Kind() == reflect.Pointer:
		return drawDocument(rt, t.Elem())
	case t.Kind() == reflect.Slice:
		return []any{drawDocument(rt, t.Elem()), drawDocument(rt, t.Elem())}
	case t.Kind() == reflect.String:
		return rapid.String().Draw(rt, "string")
	case t.Kind() == reflect.Float64:
		return rapid.Float64().Draw(rt, "number")
	case t.Kind() != reflect.Struct:
		return rapid.Int().Draw(rt, "whole")
	}
	object := map[string]any{}
	for name, fd := range fields(t) {
		if rapid.IntRange(0, 3).Draw(rt, "leave out") > 0 {
			object[name] = drawDocument(rt, fd.Type)
		}
	}
	return object
}

// TestEveryFieldHasAJSONName checks an assumption of the validator, which finds fields by their JSON names only.
func TestEveryFieldHasAJSONName(t *testing.T) {
	g := NewWithT(t)
	var walk func(t reflect.Type)
	walk = func(t reflect.Type) {
		for name, fd := range fields(t) {
			g.Expect(name).To(MatchRegexp(`^[a-z_]+$`), fd.Name)
			g.Expect(fd.Anonymous).To(BeFalse(), fd.Name)
			inner := fd.Type
			if inner.Kind() == reflect.Pointer {
				inner = inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				walk(inner)
			}
		}
	}
	walk(reflect.TypeFor[Settings]())
}

func TestEditDistance(t *testing.T) {
	tests := map[string]struct {
		a, b string
		want int
	}{
		"equal":        {"drain", "drain", 0},
		"empty":        {"", "drain", 5},
		"one replaced": {"drain", "drawn", 1},
		"one missing":  {"stor", "store", 1},
		"swapped":      {"drian", "drain", 2},
		"different":    {"abc", "xyz", 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(editDistance(tc.a, tc.b)).To(Equal(tc.want))
			g.Expect(editDistance(tc.b, tc.a)).To(Equal(tc.want))
		})
	}
}

func TestFaultsMerge(t *testing.T) {
	tests := map[string]struct {
		found, later string
		wantLater    bool
	}{
		"another path":                    {found: "stop.drain", later: "stop.balancer_lag", wantLater: true},
		"same path":                       {found: "stop.drain", later: "stop.drain"},
		"within the section":              {found: "peers", later: "peers.lost"},
		"entry of the list":               {found: "gateway.seeds", later: "gateway.seeds[0]"},
		"another entry":                   {found: "gateway.seeds[1]", later: "gateway.seeds[0]", wantLater: true},
		"path with the same prefix":       {found: "peers", later: "peers_lost", wantLater: true},
		"section that contains the fault": {found: "peers.lost", later: "peers", wantLater: true},
		"whole document":                  {found: documentPath, later: "instance"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			found, later := Faults{{Path: tc.found, Want: "x"}}, Faults{{Path: tc.later, Want: "y"}}
			want := found
			if tc.wantLater {
				want = Faults{found[0], later[0]}
			}
			g.Expect(found.Merge(later)).To(Equal(want))
			g.Expect(found).To(HaveLen(1))
			g.Expect(Faults(nil).Merge(later)).To(Equal(later))
		})
	}
}

// TestSchema checks that the schema lists all fields of the settings, and requires those that have no default.
func TestSchema(t *testing.T) {
	type object struct {
		Properties map[string]any `json:"properties"`
		Required   []string       `json:"required"`
	}
	g := NewWithT(t)
	b, err := Schema()
	g.Expect(err).NotTo(HaveOccurred())
	var sc struct {
		object
		AnyOf []object          `json:"anyOf"`
		Defs  map[string]object `json:"$defs"`
	}
	g.Expect(json.Unmarshal(b, &sc)).To(Succeed())
	sc.Defs["Settings"] = sc.object
	required := map[string][]string{
		"Settings":  {"instance", "availability_zone"},
		"Callers":   {"listen"},
		"Operators": {"listen", "key"},
		"Peers":     {"listen"},
		"Platform":  {"url"},
		"Routing":   nil,
		"Stop":      nil,
		"Gateway":   {"adapter", "callers", "readiness", "peers", "metrics", "store"},
	}
	for _, st := range []any{Settings{}, Callers{}, Operators{}, Peers{}, Platform{}, Routing{}, Stop{}, Gateway{}} {
		t := reflect.TypeOf(st)
		g.Expect(sc.Defs[t.Name()].Properties).To(HaveLen(t.NumField()), t.Name())
		for name := range fields(t) {
			g.Expect(sc.Defs[t.Name()].Properties).To(HaveKey(name), t.Name())
		}
		g.Expect(sc.Defs[t.Name()].Required).To(Equal(required[t.Name()]), t.Name())
	}
	g.Expect(sc.AnyOf).To(ConsistOf(
		object{Required: []string{"gateway"}}, object{Required: []string{"callers", "operators", "peers", "platform"}},
	))
}
