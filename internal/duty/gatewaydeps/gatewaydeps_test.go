package gatewaydeps

import (
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
)

const adapterName = "forwarding-test"

func init() { adapter.Register(adapter.Adapter{Name: adapterName}) }

// validSettings returns settings with a valid value for every field that has no default.
func validSettings() config.Settings {
	return config.Settings{Instance: "a1", AvailabilityZone: "a", Gateway: &config.Gateway{
		Adapter: adapterName, Callers: "127.0.0.1:1", Readiness: "127.0.0.1:2", Peers: "127.0.0.1:3",
		Metrics: "127.0.0.1:4", Store: "127.0.0.1:5",
	}}
}

// invalidGateway returns settings in which every field that is checked is invalid.
func invalidGateway() config.Gateway {
	return config.Gateway{
		Seeds: []string{"x"}, RevocationBound: -1, LeavingBound: -1, ConfigurationBound: -1, EvacuationBound: -1, Grace: -1, RetryShare: -1, RetryFloor: -1, RetryWindow: -1, AvailabilityZones: []string{""}, Megabits: -1,
		DialTimeout: -1, OrderTimeout: -1, MemoryHold: -1, MaxBodyBytes: -1, MaxResponseBytes: -1, BodyBudgetBytes: -1,
	}
}

// TestCheckCoversEveryField guards against a field that is added to the settings but not to check. Booleans, and sections of nothing
// else, are exempt, since both of their values are valid.
func TestCheckCoversEveryField(t *testing.T) {
	g := NewWithT(t)
	gw := invalidGateway()
	checked := map[string]bool{}
	for _, ft := range check(config.Settings{Gateway: &gw}) {
		path, _, _ := strings.Cut(ft.Path, "[")
		checked[path] = true
	}
	for fd := range reflect.TypeFor[config.Gateway]().Fields() {
		if fd.Type.Kind() == reflect.Bool || holdsOnlyBooleans(fd.Type) {
			continue
		}
		name, _, _ := strings.Cut(fd.Tag.Get("json"), ",")
		g.Expect(checked).To(HaveKey("gateway." + name))
	}
}

// holdsOnlyBooleans reports whether a type is a section of the settings with nothing but booleans.
func holdsOnlyBooleans(ty reflect.Type) bool {
	if ty.Kind() != reflect.Struct {
		return false
	}
	for fd := range ty.Fields() {
		if fd.Type.Kind() != reflect.Bool {
			return false
		}
	}
	return true
}

func TestDefaults(t *testing.T) {
	filled := config.Gateway{
		Grace: config.Duration(10 * time.Second), MaxBodyBytes: 4 << 20, BodyBudgetBytes: 20 << 20, MaxResponseBytes: 256 << 20,
		RetryShare: 0.1, RetryFloor: 20, RetryWindow: config.Duration(10 * time.Second),
		DialTimeout: config.Duration(250 * time.Millisecond), OrderTimeout: config.Duration(400 * time.Millisecond),
		MemoryHold:   config.Duration(3 * time.Second),
		LeavingBound: config.Duration(3 * time.Second), ConfigurationBound: config.Duration(3 * time.Second),
	}
	tests := map[string]struct {
		given config.Gateway
		want  func(gw *config.Gateway)
	}{
		"nothing given": {config.Gateway{}, func(*config.Gateway) {}},
		"grace given": {
			config.Gateway{Grace: config.Duration(time.Second)},
			func(gw *config.Gateway) { gw.Grace = config.Duration(time.Second) },
		},
		"propagation bounds given": {
			config.Gateway{LeavingBound: 1, ConfigurationBound: 2},
			func(gw *config.Gateway) { gw.LeavingBound, gw.ConfigurationBound = 1, 2 },
		},
		"share without a window": {
			config.Gateway{RetryShare: 0.5},
			func(gw *config.Gateway) { gw.RetryShare, gw.RetryFloor = 0.5, 0 },
		},
		"floor without a window": {
			config.Gateway{RetryFloor: 3},
			func(gw *config.Gateway) { gw.RetryShare, gw.RetryFloor = 0, 3 },
		},
		"no retries": {
			config.Gateway{RetryWindow: config.Duration(time.Second)},
			func(gw *config.Gateway) {
				gw.RetryShare, gw.RetryFloor, gw.RetryWindow = 0, 0, config.Duration(time.Second)
			},
		},
		"target timeouts given": {
			config.Gateway{DialTimeout: 1, OrderTimeout: 2, MemoryHold: 3},
			func(gw *config.Gateway) { gw.DialTimeout, gw.OrderTimeout, gw.MemoryHold = 1, 2, 3 },
		},
		"body limits given": {
			config.Gateway{MaxBodyBytes: 1, BodyBudgetBytes: 2, MaxResponseBytes: 3},
			func(gw *config.Gateway) { gw.MaxBodyBytes, gw.BodyBudgetBytes, gw.MaxResponseBytes = 1, 2, 3 },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			want, given := filled, tc.given
			tc.want(&want)
			s := config.Settings{Gateway: &given}
			defaults(&s)
			g.Expect(*s.Gateway).To(Equal(want))
			g.Expect(given).To(Equal(tc.given), "the given settings are not modified")
		})
	}
}

func TestCheck(t *testing.T) {
	const ms = config.Duration(time.Millisecond)
	tests := map[string]struct {
		edit func(gw *config.Gateway)
		want []string
	}{
		"valid":                         {func(*config.Gateway) {}, nil},
		"adapter":                       {func(gw *config.Gateway) { gw.Adapter = "none" }, []string{"gateway.adapter"}},
		"callers":                       {func(gw *config.Gateway) { gw.Callers = "localhost" }, []string{"gateway.callers"}},
		"readiness":                     {func(gw *config.Gateway) { gw.Readiness = "" }, []string{"gateway.readiness"}},
		"peers":                         {func(gw *config.Gateway) { gw.Peers = "127.0.0.1" }, []string{"gateway.peers"}},
		"metrics":                       {func(gw *config.Gateway) { gw.Metrics = ":9" }, []string{"gateway.metrics"}},
		"store":                         {func(gw *config.Gateway) { gw.Store = "http://127.0.0.1:5" }, []string{"gateway.store"}},
		"valid seeds":                   {func(gw *config.Gateway) { gw.Seeds = []string{"10.0.0.1:1", "[::1]:2"} }, nil},
		"invalid seeds":                 {func(gw *config.Gateway) { gw.Seeds = []string{"", "10.0.0.1:1", "b:1"} }, []string{"gateway.seeds[0]", "gateway.seeds[2]"}},
		"revocation bound":              {func(gw *config.Gateway) { gw.RevocationBound = ms }, nil},
		"revocation bound below zero":   {func(gw *config.Gateway) { gw.RevocationBound = -ms }, []string{"gateway.revocation_bound"}},
		"shortest propagation bounds":   {func(gw *config.Gateway) { gw.LeavingBound, gw.ConfigurationBound = 1000*ms, 1000*ms }, nil},
		"leaving bound too short":       {func(gw *config.Gateway) { gw.LeavingBound = 999 * ms }, []string{"gateway.leaving_bound"}},
		"configuration bound too short": {func(gw *config.Gateway) { gw.ConfigurationBound = 0 }, []string{"gateway.configuration_bound"}},
		"shortest evacuation bound":     {func(gw *config.Gateway) { gw.EvacuationBound = 1000 * ms }, nil},
		"evacuation bound too short":    {func(gw *config.Gateway) { gw.EvacuationBound = 999 * ms }, []string{"gateway.evacuation_bound"}},
		"shortest grace":                {func(gw *config.Gateway) { gw.Grace = 1000 * ms }, nil},
		"grace too short":               {func(gw *config.Gateway) { gw.Grace = 999 * ms }, []string{"gateway.grace"}},
		"grace below zero":              {func(gw *config.Gateway) { gw.Grace = -ms }, []string{"gateway.grace"}},
		"retry share of one":            {func(gw *config.Gateway) { gw.RetryShare = 1 }, nil},
		"no retries":                    {func(gw *config.Gateway) { gw.RetryShare, gw.RetryFloor = 0, 0 }, nil},
		"retry share above one":         {func(gw *config.Gateway) { gw.RetryShare = 1.01 }, []string{"gateway.retry_share"}},
		"retry share below zero":        {func(gw *config.Gateway) { gw.RetryShare = -0.01 }, []string{"gateway.retry_share"}},
		"megabits below zero":           {func(gw *config.Gateway) { gw.Megabits = -1 }, []string{"gateway.megabits"}},
		"availability zone twice":       {func(gw *config.Gateway) { gw.AvailabilityZones = []string{"a", "b", "a"} }, []string{"gateway.availability_zones[2]"}},
		"retry floor below zero":        {func(gw *config.Gateway) { gw.RetryFloor = -1 }, []string{"gateway.retry_floor"}},
		"retry window below zero":       {func(gw *config.Gateway) { gw.RetryWindow = -ms }, []string{"gateway.retry_window"}},
		"budget for one body":           {func(gw *config.Gateway) { gw.BodyBudgetBytes = gw.MaxBodyBytes }, nil},
		"budget below one body":         {func(gw *config.Gateway) { gw.BodyBudgetBytes = gw.MaxBodyBytes - 1 }, []string{"gateway.body_budget_bytes"}},
		"maximum body below zero":       {func(gw *config.Gateway) { gw.MaxBodyBytes = -1 }, []string{"gateway.max_body_bytes"}},
		"body budget below zero":        {func(gw *config.Gateway) { gw.BodyBudgetBytes = -1 }, []string{"gateway.body_budget_bytes"}},
		"maximum response below zero":   {func(gw *config.Gateway) { gw.MaxResponseBytes = -1 }, []string{"gateway.max_response_bytes"}},
		"dial timeout below zero":       {func(gw *config.Gateway) { gw.DialTimeout = -ms }, []string{"gateway.dial_timeout"}},
		"order timeout below zero":      {func(gw *config.Gateway) { gw.OrderTimeout = -ms }, []string{"gateway.order_timeout"}},
		"memory hold below zero":        {func(gw *config.Gateway) { gw.MemoryHold = -ms }, []string{"gateway.memory_hold"}},
		"all fields invalid": {
			func(gw *config.Gateway) { *gw = invalidGateway() },
			[]string{
				"gateway.adapter", "gateway.callers", "gateway.readiness", "gateway.peers", "gateway.metrics", "gateway.store",
				"gateway.seeds[0]", "gateway.revocation_bound", "gateway.leaving_bound", "gateway.configuration_bound", "gateway.evacuation_bound", "gateway.dial_timeout", "gateway.order_timeout",
				"gateway.memory_hold", "gateway.grace", "gateway.retry_share", "gateway.retry_floor", "gateway.megabits", "gateway.retry_window", "gateway.availability_zones[0]",
				"gateway.max_body_bytes", "gateway.max_response_bytes", "gateway.body_budget_bytes",
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := validSettings()
			defaults(&s)
			tc.edit(s.Gateway)
			var paths []string
			for _, ft := range check(s) {
				paths = append(paths, ft.Path)
				g.Expect(ft.Want).NotTo(BeEmpty())
			}
			g.Expect(paths).To(Equal(tc.want))
		})
	}
}
