package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
)

// TestKeyThatANewerConfigurationMayHave asks with keys at an instance that may lack a newer configuration.
//
// Symptom: a key is refused with 401 seconds after the store took the configuration that has it. Sequence: the instance loses
// touch, or peers tell it of a newer version that it has not fetched; a caller uses a key of that version. Cause: a key that is
// not in the table in force was called unknown before the age of the proof, and what peers told, was looked at.
func TestKeyThatANewerConfigurationMayHave(t *testing.T) {
	const bound = time.Second
	tests := map[string]struct {
		key        string
		bound, age time.Duration
		// told is the newest version that a peer tells of; version 4 is in force.
		told int64
		want int
	}{
		"unknown, proof fresh":                   {"new", bound, bound, 4, http.StatusUnauthorized},
		"unknown, proof too old":                 {"new", bound, bound + 1, 4, http.StatusServiceUnavailable},
		"unknown, newer version told":            {"new", bound, 0, 5, http.StatusServiceUnavailable},
		"unknown, newer version told, no bound":  {"new", 0, time.Hour, 5, http.StatusServiceUnavailable},
		"unknown, no bound":                      {"new", 0, time.Hour, 4, http.StatusUnauthorized},
		"unknown, older version told":            {"new", bound, 0, 3, http.StatusUnauthorized},
		"no key, proof too old":                  {"", bound, bound + 1, 4, http.StatusUnauthorized},
		"no key, newer version told":             {"", bound, 0, 5, http.StatusUnauthorized},
		"known, proof too old":                   {"kept", bound, bound + 1, 4, http.StatusServiceUnavailable},
		"known, proof too old, newer one told":   {"kept", bound, bound + 1, 5, http.StatusServiceUnavailable},
		"taken away, proof too old":              {"taken", bound, bound + 1, 4, http.StatusServiceUnavailable},
		"taken away, proof fresh, nothing newer": {"taken", bound, 0, 4, http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			at := time.Unix(1000, 0)
			hd := &routes.Holder{}
			hd.ApplyIfNewer(keys(3, "kept", "taken"), nil, at)
			hd.ApplyIfNewer(keys(4, "kept"), nil, at)
			hd.Confirm(tc.told, at)
			gw := newGateway(hd, memory.New())
			gw.Now = func() time.Time { return at.Add(tc.age) }
			gw.SetLimits(gateway.Limits{ProofAge: tc.bound})
			rec := ask(gw, "1", tc.key)
			g.Expect(rec.Code).To(Equal(tc.want))
			g.Expect(rec.Header().Get("Retry-After") != "").To(Equal(tc.want == http.StatusServiceUnavailable))
		})
	}
}
