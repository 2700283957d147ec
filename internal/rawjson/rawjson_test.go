package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/rawjson"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	cases := map[string]struct {
		in   string
		want []string
		// wantErr is set if the array cannot be split.
		wantErr bool
	}{
		"absent":              {"", nil, false},
		"null":                {"null", nil, false},
		"empty":               {" [ ] ", nil, false},
		"scalars":             {`[1, -2.5e400 ,true,null,"a,]"]`, []string{"1", "-2.5e400", "true", "null", `"a,]"`}, false},
		"nested":              {`[{"a":[1,{"b":"}"}]},[[]]]`, []string{`{"a":[1,{"b":"}"}]}`, "[[]]"}, false},
		"escapes":             {`["\"","\\","\\\"]"]`, []string{`"\""`, `"\\"`, `"\\\"]"`}, false},
		"nested very deeply":  {"[1," + deep + ",2]", []string{"1", deep, "2"}, false},
		"bytes not allowed":   {"[\"\x00\xff\",1]", []string{"\"\x00\xff\"", "1"}, false},
		"word that is none":   {"[nul,1]", []string{"nul", "1"}, false},
		"object":              {"{}", nil, true},
		"without end":         {"[1,2", nil, true},
		"string without end":  {`["a`, nil, true},
		"escape without end":  {`["a\`, nil, true},
		"element without end": {"[[1,2]", nil, true},
		"missing element":     {"[1,]", nil, true},
		"missing comma":       {"[1 2]", nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := rawjson.Value(tc.in).Elements()
			g.Expect(err != nil).To(Equal(tc.wantErr))
			if err != nil {
				return
			}
			g.Expect(got).To(HaveLen(len(tc.want)))
			for i, v := range got {
				g.Expect(string(v) == tc.want[i]).To(BeTrue(), "element %d", i)
			}
		})
	}
}

func TestMember(t *testing.T) {
	cases := map[string]struct{ in, want string }{
		"first":             {`{"a":1,"b":2}`, "1"},
		"last of several":   {`{"a":1,"b":2, "a" : [3] }`, "[3]"},
		"escaped name":      {`{"\u0061":1}`, "1"},
		"name of a member":  {`{"b":{"a":1}}`, ""},
		"name as a value":   {`{"b":"a","c":1}`, ""},
		"no object":         {`["a",1]`, ""},
		"no colon":          {`{"a" 1}`, ""},
		"object in an end":  {`{"a":1`, ""},
		"value missing":     {`{"a":}`, ""},
		"nothing":           {"", ""},
		"null":              {"null", ""},
		"name of no string": {`{1:2,"a":3}`, "3"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(string(rawjson.Value(tc.in).Member("a"))).To(Equal(tc.want))
		})
	}
}

// TestElementsOfValidDocuments compares the elements of random arrays with those of encoding/json.
func TestElementsOfValidDocuments(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		var value func(depth int) *rapid.Generator[any]
		value = func(depth int) *rapid.Generator[any] {
			scalars := []*rapid.Generator[any]{rapid.Float64Range(-1e9, 1e9).AsAny(), rapid.String().AsAny(), rapid.Bool().AsAny(), rapid.Just[any](nil)}
			if depth == 0 {
				return rapid.OneOf(scalars...)
			}
			return rapid.OneOf(append(scalars, rapid.SliceOfN(value(depth-1), 0, 3).AsAny(), rapid.MapOfN(rapid.String(), value(depth-1), 0, 3).AsAny())...)
		}
		list := rapid.SliceOfN(value(3), 0, 5).Draw(rt, "list")
		indent := rapid.SampledFrom([]string{"", " ", "\t"}).Draw(rt, "indent")
		b, err := json.MarshalIndent(list, "", indent)
		g.Expect(err).NotTo(HaveOccurred())
		var want []json.RawMessage
		g.Expect(json.Unmarshal(b, &want)).To(Succeed())
		got, err := rawjson.Value(b).Elements()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(len(want)))
		for i, v := range got {
			g.Expect(string(v)).To(Equal(string(want[i])))
		}
	})
}

// FuzzValue checks that no input makes the scanner panic or hang.
func FuzzValue(f *testing.F) {
	for _, seed := range []string{"", "[", `{"a":[1,2]}`, `["\`, "[[[[", `{"a":{"b":"c"}},`, "]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = rawjson.Value(b).Elements()
		rawjson.Value(b).Member("a")
	})
}
