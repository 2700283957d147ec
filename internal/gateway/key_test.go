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

// TestKeysWithoutOrganisations guards against removed and invented keys that are accepted once a configuration without organisations is in
// force.
func TestKeysWithoutOrganisations(t *testing.T) {
	const version = 4
	withoutKeys := routes.New(configWithoutKeys(version))
	tests := map[string]struct {
		before, inForce *routes.Table
		maxStaleness    time.Duration
		key             string
	}{
		"no key is valid, removed key":                 {tableWithKeys(3, "taken"), tableWithKeys(version), 0, "taken"},
		"no key is valid, unknown key":                 {tableWithKeys(3, "taken"), tableWithKeys(version), 0, "new"},
		"no key is valid, no key":                      {tableWithKeys(3, "taken"), tableWithKeys(version), 0, ""},
		"no key is valid, first configuration":         {nil, tableWithKeys(version), 0, "new"},
		"keys are not used any more, removed key":      {tableWithKeys(3, "taken"), withoutKeys, 0, "taken"},
		"keys are not used any more, unknown key":      {tableWithKeys(3, "taken"), withoutKeys, 0, "new"},
		"keys were not used here, revocations bounded": {nil, withoutKeys, time.Second, "taken"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			hd := &routes.Holder{}
			if tc.before != nil {
				hd.ApplyIfNewer(tc.before, nil, at)
			}
			hd.ApplyIfNewer(tc.inForce, nil, at)
			gw := newGateway(hd, memory.New())
			gw.Now = func() time.Time { return at }
			gw.SetLimits(gateway.Limits{MaxConfigStaleness: tc.maxStaleness})
			NewWithT(t).Expect(send(gw, "1", tc.key).Code).To(Equal(http.StatusUnauthorized))
		})
	}
}

// TestKeyOfPossiblyNewerConfiguration sends requests with keys to an instance that may lack the newest configuration.
//
// It guards against a 401 for a valid key, seconds after the store accepted the configuration that contains it. The instance had
// lost the connection to the store, or peers had announced a newer version that it had not fetched yet. It reported a key that is
// not in its configuration as unknown before it checked the staleness of that configuration and the announcements of peers.
func TestKeyOfPossiblyNewerConfiguration(t *testing.T) {
	const maxStaleness = time.Second
	tests := map[string]struct {
		key                     string
		maxStaleness, staleness time.Duration
		// announced is the newest version that a peer has announced. Version 4 is in force.
		announced int64
		want      int
	}{
		"unknown, not stale":                             {"new", maxStaleness, maxStaleness, 4, http.StatusUnauthorized},
		"unknown, stale":                                 {"new", maxStaleness, maxStaleness + 1, 4, http.StatusServiceUnavailable},
		"unknown, newer version announced":               {"new", maxStaleness, 0, 5, http.StatusServiceUnavailable},
		"unknown, newer version announced, no limit":     {"new", 0, time.Hour, 5, http.StatusServiceUnavailable},
		"unknown, no limit":                              {"new", 0, time.Hour, 4, http.StatusUnauthorized},
		"unknown, older version announced":               {"new", maxStaleness, 0, 3, http.StatusUnauthorized},
		"no key, stale":                                  {"", maxStaleness, maxStaleness + 1, 4, http.StatusUnauthorized},
		"no key, newer version announced":                {"", maxStaleness, 0, 5, http.StatusUnauthorized},
		"known, stale":                                   {"kept", maxStaleness, maxStaleness + 1, 4, http.StatusServiceUnavailable},
		"known, stale, newer version announced":          {"kept", maxStaleness, maxStaleness + 1, 5, http.StatusServiceUnavailable},
		"revoked, stale":                                 {"taken", maxStaleness, maxStaleness + 1, 4, http.StatusServiceUnavailable},
		"revoked, not stale, no newer version announced": {"taken", maxStaleness, 0, 4, http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			at := time.Unix(1000, 0)
			hd := &routes.Holder{}
			hd.ApplyIfNewer(tableWithKeys(3, "kept", "taken"), nil, at)
			hd.ApplyIfNewer(tableWithKeys(4, "kept"), nil, at)
			hd.Confirm(tc.announced, at)
			gw := newGateway(hd, memory.New())
			gw.Now = func() time.Time { return at.Add(tc.staleness) }
			gw.SetLimits(gateway.Limits{MaxConfigStaleness: tc.maxStaleness})
			rec := send(gw, "1", tc.key)
			g.Expect(rec.Code).To(Equal(tc.want))
			g.Expect(rec.Header().Get("Retry-After") != "").To(Equal(tc.want == http.StatusServiceUnavailable))
		})
	}
}
