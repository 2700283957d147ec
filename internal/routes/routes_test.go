package routes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/routes"
)

func newRoute(name, host, prefix string) routes.Route {
	return routes.Route{Name: name, Host: host, PathPrefix: prefix, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}
}

func newTable(version int64, rts ...routes.Route) *routes.Table {
	return routes.New(routes.Config{Version: version, Routes: rts})
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	tb := newTable(1,
		newRoute("root", "a", "/"), newRoute("deep", "a", "/x/y/"), newRoute("x", "a", "/x/"), newRoute("other", "b", "/x/"),
	)
	cases := map[string]struct{ host, path, want string }{
		"only the root matches":                  {"a", "/z", "root"},
		"two prefixes match":                     {"a", "/x/1", "x"},
		"three prefixes match":                   {"a", "/x/y/1", "deep"},
		"path equals a prefix":                   {"a", "/x/y/", "deep"},
		"path lacks the final slash of a prefix": {"a", "/x/y", "x"},
		"segment begins like a prefix":           {"a", "/xx/", "root"},
		"another host":                           {"b", "/x/y/1", "other"},
		"no prefix of the host matches":          {"b", "/z", ""},
		"host with port":                         {"b:8080", "/x/1", "other"},
		"unknown host":                           {"c", "/x/1", ""},
		"empty host":                             {"", "/x/1", ""},
		"escaped slash":                          {"a", "/x%2Fy/1", "root"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rt, ok := tb.Route(tc.host, tc.path)
			g.Expect(ok).To(Equal(tc.want != ""))
			g.Expect(rt.Name).To(Equal(tc.want))
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	services := []routes.WeightedService{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}
	cases := map[string]struct {
		services []routes.WeightedService
		point    float64
		want     string
	}{
		"lowest point":                       {services, 0, "a"},
		"just below the boundary":            {services, 0.2499, "a"},
		"on the boundary":                    {services, 0.25, "b"},
		"highest point":                      {services, 0.999999, "b"},
		"one service":                        {services[:1], 0.7, "a"},
		"lowest point, first weight is zero": {[]routes.WeightedService{{Service: "none"}, {Service: "b", Weight: 1}}, 0, "b"},
		"highest point, last weight is zero": {[]routes.WeightedService{{Service: "b", Weight: 1}, {Service: "none"}}, 0.999999, "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(routes.Route{Services: tc.services}.PickService(tc.point)).To(Equal(tc.want))
		})
	}
}

func TestPickServiceNeverPicksZeroWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 6).Draw(rt, "weights")
		sum := 0
		route := routes.Route{}
		for i, w := range weights {
			sum += w
			route.Services = append(route.Services, routes.WeightedService{Service: string(rune('a' + i)), Weight: w})
		}
		if sum == 0 {
			route.Services[0].Weight = 1
			weights[0] = 1
		}
		got := route.PickService(rapid.Float64Range(0, 0.9999999).Draw(rt, "point"))
		g.Expect(weights[got[0]-'a']).To(BeNumerically(">", 0))
	})
}

func TestNeedsKeyAndOrganisation(t *testing.T) {
	withoutOrganisations := newTable(1)
	withOrganisations := routes.New(routes.Config{Version: 1, Keys: map[string]routes.Organisation{"k": {Name: "red"}}})
	cases := map[string]struct {
		table *routes.Table
		route routes.Route
		want  bool
	}{
		"no organisations":                {withoutOrganisations, routes.Route{}, false},
		"organisations":                   {withOrganisations, routes.Route{}, true},
		"organisations, but public route": {withOrganisations, routes.Route{Public: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.table.NeedsKey(tc.route)).To(Equal(tc.want))
		})
	}
	g := NewWithT(t)
	org, ok := withOrganisations.Organisation("k")
	g.Expect(ok).To(BeTrue())
	g.Expect(org.Name).To(Equal("red"))
	_, ok = withOrganisations.Organisation("")
	g.Expect(ok).To(BeFalse())
}

func TestAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		route routes.Route
		want  bool
	}{
		"repeatable":                           {routes.Route{Repeatable: true}, false},
		"not repeatable":                       {routes.Route{}, true},
		"stream":                               {routes.Route{Streaming: true}, true},
		"resumable stream":                     {routes.Route{Streaming: true, Resumable: true}, false},
		"stream, repeatable but not resumable": {routes.Route{Streaming: true, Repeatable: true}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.route.AtMostOnce()).To(Equal(tc.want))
		})
	}
}

func TestHolderKeepsHighestVersion(t *testing.T) {
	g := NewWithT(t)
	hd := &routes.Holder{}
	t0 := time.Unix(1000, 0)
	tb, provenAt := hd.Current()
	g.Expect(tb).To(BeNil())
	g.Expect(provenAt.IsZero()).To(BeTrue())
	g.Expect(hd.Confirm(1, t0)).To(BeFalse())

	g.Expect(hd.ApplyIfNewer(newTable(3), []byte("three"), t0)).To(BeTrue())
	g.Expect(hd.ApplyIfNewer(newTable(3), []byte("again"), t0)).To(BeFalse())
	g.Expect(hd.ApplyIfNewer(newTable(2), []byte("two"), t0.Add(time.Hour))).To(BeFalse())
	tb, provenAt = hd.Current()
	g.Expect(tb.Version()).To(BeEquivalentTo(3))
	g.Expect(provenAt).To(Equal(t0), "an older version proves nothing")
	version, document := hd.Document()
	g.Expect(version).To(BeEquivalentTo(3))
	g.Expect(string(document)).To(Equal("three"))
}

func TestProvenAtNeverDecreases(t *testing.T) {
	t0 := time.Unix(1000, 0)
	cases := map[string]struct {
		act    func(hd *routes.Holder) bool
		wantOK bool
		want   time.Time
	}{
		"current version confirmed, later":       {func(hd *routes.Holder) bool { return hd.Confirm(3, t0.Add(time.Second)) }, true, t0.Add(time.Second)},
		"current version confirmed, earlier":     {func(hd *routes.Holder) bool { return hd.Confirm(3, t0.Add(-time.Second)) }, true, t0},
		"older version confirmed":                {func(hd *routes.Holder) bool { return hd.Confirm(2, t0.Add(time.Second)) }, true, t0},
		"newer version confirmed":                {func(hd *routes.Holder) bool { return hd.Confirm(4, t0.Add(time.Second)) }, false, t0},
		"current version applied again, later":   {func(hd *routes.Holder) bool { return !hd.ApplyIfNewer(newTable(3), nil, t0.Add(time.Second)) }, true, t0.Add(time.Second)},
		"current version applied again, earlier": {func(hd *routes.Holder) bool { return !hd.ApplyIfNewer(newTable(3), nil, t0.Add(-time.Second)) }, true, t0},
		"newer version applied, no proof":        {func(hd *routes.Holder) bool { return hd.ApplyIfNewer(newTable(4), nil, time.Time{}) }, true, t0},
		"newer version applied, older proof":     {func(hd *routes.Holder) bool { return hd.ApplyIfNewer(newTable(4), nil, t0.Add(-time.Second)) }, true, t0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd := &routes.Holder{}
			hd.ApplyIfNewer(newTable(3), nil, t0)
			g.Expect(tc.act(hd)).To(Equal(tc.wantOK))
			_, provenAt := hd.Current()
			g.Expect(provenAt).To(Equal(tc.want))
		})
	}
}

func TestRemovedSince(t *testing.T) {
	tableWithKeys := func(version int64, keys ...string) *routes.Table {
		cfg := routes.Config{Version: version, Keys: map[string]routes.Organisation{}}
		for _, key := range keys {
			cfg.Keys[key] = routes.Organisation{}
		}
		return routes.New(cfg)
	}
	cases := map[string]struct {
		tables []*routes.Table
		want   int64
	}{
		"key was never in force":         {[]*routes.Table{tableWithKeys(1, "other"), tableWithKeys(2, "other")}, 0},
		"key is in force":                {[]*routes.Table{tableWithKeys(1), tableWithKeys(2, "key")}, 0},
		"key is removed":                 {[]*routes.Table{tableWithKeys(1, "key"), tableWithKeys(4), tableWithKeys(6)}, 4},
		"key is removed and added again": {[]*routes.Table{tableWithKeys(1, "key"), tableWithKeys(2), tableWithKeys(3, "key")}, 0},
		"key is removed twice":           {[]*routes.Table{tableWithKeys(1, "key"), tableWithKeys(2), tableWithKeys(3, "key"), tableWithKeys(4)}, 4},
		"older table without the key":    {[]*routes.Table{tableWithKeys(2, "key"), tableWithKeys(1)}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd := &routes.Holder{}
			for _, tb := range tc.tables {
				hd.ApplyIfNewer(tb, nil, time.Now())
			}
			version, known := hd.RemovedSince(routes.DigestOf("key"))
			g.Expect(known).To(Equal(tc.want != 0))
			g.Expect(version).To(Equal(tc.want))
		})
	}
}

func TestDigestPrintsOnlyPrefix(t *testing.T) {
	g := NewWithT(t)
	g.Expect(routes.DigestOf("key").String()).To(HaveLen(8))
	g.Expect(routes.DigestOf("key")).NotTo(Equal(routes.DigestOf("kex")))
}
