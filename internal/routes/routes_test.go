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
		"the only prefix":           {"a", "/z", "root"},
		"longer prefix":             {"a", "/x/1", "x"},
		"longest prefix":            {"a", "/x/y/1", "deep"},
		"a prefix itself":           {"a", "/x/y/", "deep"},
		"without the slash":         {"a", "/x/y", "x"},
		"a name that begins alike":  {"a", "/xx/", "root"},
		"another host":              {"b", "/x/y/1", "other"},
		"another host without root": {"b", "/z", ""},
		"host with port":            {"b:8080", "/x/1", "other"},
		"unknown host":              {"c", "/x/1", ""},
		"no host":                   {"", "/x/1", ""},
		"escaped slash":             {"a", "/x%2Fy/1", "root"},
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
	shares := []routes.WeightedService{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}
	cases := map[string]struct {
		shares []routes.WeightedService
		point  float64
		want   string
	}{
		"at the beginning":           {shares, 0, "a"},
		"before the border":          {shares, 0.2499, "a"},
		"at the border":              {shares, 0.25, "b"},
		"at the end":                 {shares, 0.999999, "b"},
		"one service":                {shares[:1], 0.7, "a"},
		"first has no weight":        {[]routes.WeightedService{{Service: "none"}, {Service: "b", Weight: 1}}, 0, "b"},
		"last has no weight, at end": {[]routes.WeightedService{{Service: "b", Weight: 1}, {Service: "none"}}, 0.999999, "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(routes.Route{Services: tc.shares}.PickService(tc.point)).To(Equal(tc.want))
		})
	}
}

// TestPickNeverTakesAServiceWithoutWeight draws shares and points.
func TestPickServiceNeverPicksZeroWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 6).Draw(rt, "weights")
		sum := 0
		rte := routes.Route{}
		for no, w := range weights {
			sum += w
			rte.Services = append(rte.Services, routes.WeightedService{Service: string(rune('a' + no)), Weight: w})
		}
		if sum == 0 {
			rte.Services[0].Weight = 1
			weights[0] = 1
		}
		got := rte.PickService(rapid.Float64Range(0, 0.9999999).Draw(rt, "point"))
		g.Expect(weights[got[0]-'a']).To(BeNumerically(">", 0))
	})
}

func TestNeedsKeyOnlyWithOrganisations(t *testing.T) {
	open := newTable(1)
	closed := routes.New(routes.Config{Version: 1, Keys: map[string]routes.Organisation{"k": {Name: "red"}}})
	cases := map[string]struct {
		table *routes.Table
		route routes.Route
		need  bool
	}{
		"no organisations":                {open, routes.Route{}, false},
		"organisations":                   {closed, routes.Route{}, true},
		"organisations, on public routes": {closed, routes.Route{Public: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.table.NeedsKey(tc.route)).To(Equal(tc.need))
		})
	}
	g := NewWithT(t)
	og, ok := closed.Organisation("k")
	g.Expect(ok).To(BeTrue())
	g.Expect(og.Name).To(Equal("red"))
	_, ok = closed.Organisation("")
	g.Expect(ok).To(BeFalse())
}

func TestAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		route     routes.Route
		exclusive bool
	}{
		"repeatable":                 {routes.Route{Repeatable: true}, false},
		"not repeatable":             {routes.Route{}, true},
		"stream":                     {routes.Route{Streaming: true}, true},
		"stream that can go on":      {routes.Route{Streaming: true, Resumable: true}, false},
		"repeatable says nothing of": {routes.Route{Streaming: true, Repeatable: true}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.route.AtMostOnce()).To(Equal(tc.exclusive))
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
		act  func(hd *routes.Holder) bool
		good bool
		want time.Time
	}{
		"confirmed later":             {func(hd *routes.Holder) bool { return hd.Confirm(3, t0.Add(time.Second)) }, true, t0.Add(time.Second)},
		"confirmed earlier":           {func(hd *routes.Holder) bool { return hd.Confirm(3, t0.Add(-time.Second)) }, true, t0},
		"an older one confirmed":      {func(hd *routes.Holder) bool { return hd.Confirm(2, t0.Add(time.Second)) }, true, t0},
		"a newer one confirmed":       {func(hd *routes.Holder) bool { return hd.Confirm(4, t0.Add(time.Second)) }, false, t0},
		"offered again, later":        {func(hd *routes.Holder) bool { return !hd.ApplyIfNewer(newTable(3), nil, t0.Add(time.Second)) }, true, t0.Add(time.Second)},
		"offered again, earlier":      {func(hd *routes.Holder) bool { return !hd.ApplyIfNewer(newTable(3), nil, t0.Add(-time.Second)) }, true, t0},
		"a newer one, without proof":  {func(hd *routes.Holder) bool { return hd.ApplyIfNewer(newTable(4), nil, time.Time{}) }, true, t0},
		"a newer one, with old proof": {func(hd *routes.Holder) bool { return hd.ApplyIfNewer(newTable(4), nil, t0.Add(-time.Second)) }, true, t0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd := &routes.Holder{}
			hd.ApplyIfNewer(newTable(3), nil, t0)
			g.Expect(tc.act(hd)).To(Equal(tc.good))
			_, provenAt := hd.Current()
			g.Expect(provenAt).To(Equal(tc.want))
		})
	}
}

// TestKeysThatWent follows one key through versions of the configuration.
func TestRemovedSince(t *testing.T) {
	with := func(version int64, keys ...string) *routes.Table {
		ct := routes.Config{Version: version, Keys: map[string]routes.Organisation{}}
		for _, key := range keys {
			ct.Keys[key] = routes.Organisation{}
		}
		return routes.New(ct)
	}
	cases := map[string]struct {
		tables []*routes.Table
		want   int64
	}{
		"never there":        {[]*routes.Table{with(1, "other"), with(2, "other")}, 0},
		"in force":           {[]*routes.Table{with(1), with(2, "key")}, 0},
		"gone":               {[]*routes.Table{with(1, "key"), with(4), with(6)}, 4},
		"gone and back":      {[]*routes.Table{with(1, "key"), with(2), with(3, "key")}, 0},
		"gone again":         {[]*routes.Table{with(1, "key"), with(2), with(3, "key"), with(4)}, 4},
		"an older one comes": {[]*routes.Table{with(2, "key"), with(1)}, 0},
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
