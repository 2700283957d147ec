package objectstore_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/objectstore"
)

// TestOddObjectLeavesTheOthers guards against one object that makes all others of its kind unavailable, since encoding/json rejects the whole
// response.
func TestOddObjectLeavesTheOthers(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	cases := map[string]struct {
		odd string
		// wantName is the name under which the odd object counts as deleted; empty if it is left out.
		wantName string
	}{
		"deep value":              {`{"name":"odd","version":3,"value":` + deep + `}`, "odd"},
		"deep name":               {`{"name":` + deep + `,"version":3,"value":{}}`, ""},
		"byte not allowed":        {"{\"name\":\"odd\",\"version\":3,\"value\":\"\x00\"}", "odd"},
		"version out of range":    {`{"name":"odd","version":1e400,"value":{}}`, "odd"},
		"version of another type": {`{"name":"odd","version":"3","value":{}}`, "odd"},
		"no object":               {`[17]`, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"version":7,"items":[`+tc.odd+`,{"name":"sound","version":5,"value":{"a":1}},{"name":"deleted","version":6}]}`)
			}))
			defer sv.Close()
			cl := objectstore.New(sv.URL)
			listed, err := cl.List(t.Context(), objectstore.KindTargets)
			g.Expect(err).NotTo(HaveOccurred())
			watched, err := cl.Watch(t.Context(), objectstore.KindTargets, 4, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			for _, l := range []objectstore.Listing{listed, watched} {
				g.Expect(l.Version).To(BeEquivalentTo(7))
				want := []objectstore.Object{{Name: "sound", Version: 5, Value: json.RawMessage(`{"a":1}`)}, {Name: "deleted", Version: 6}}
				if tc.wantName != "" {
					want = append([]objectstore.Object{{Name: tc.wantName}}, want...)
				}
				g.Expect(l.Items).To(Equal(want))
			}
		})
	}
}
