package kernel

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
)

// registerOnly replaces the registry with the given duties for the duration of a test.
func registerOnly(t *testing.T, duties ...Duty) {
	t.Helper()
	before := registry
	registry = nil
	t.Cleanup(func() { registry = before })
	for _, d := range duties {
		Register(d)
	}
}

// reloadDuty returns a duty that refuses a negative body limit. On each reload it appends its name to reloaded and the new settings
// to inForce.
func reloadDuty(name string, role config.Role, reloaded *[]string, inForce *[]config.Settings) Duty {
	return Duty{
		Name: name, Role: role, Phase: PhaseWork,
		Defaults: func(s *config.Settings) { s.Routing.Policy = "default of " + name },
		Check: func(s config.Settings) config.Faults {
			if s.Callers.MaxBodyBytes < 0 {
				return config.Faults{{Path: "callers.max_body_bytes", Want: name + " wants more"}}
			}
			return nil
		},
		Start: func(_ context.Context, env *Env) (Stop, error) {
			env.OnReload(func(s config.Settings) {
				*reloaded = append(*reloaded, name)
				*inForce = append(*inForce, s)
			})
			return nil, nil
		},
	}
}

func startKernel(t *testing.T, s config.Settings) (*Kernel, *memory.Handler) {
	t.Helper()
	g := NewWithT(t)
	mh := memory.New()
	kn, err := New(s, "i-1", &log.Logger{Handler: mh, Level: log.InfoLevel})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kn.Start(t.Context())).To(Succeed())
	return kn, mh
}

func entrySettings(bytes int64) config.Settings {
	return config.Settings{Instance: "a1", AvailabilityZone: "a", Callers: config.Callers{MaxBodyBytes: bytes}}
}

func gatewaySettings(bytes int64) config.Settings {
	s := entrySettings(bytes)
	s.Gateway = &config.Gateway{}
	return s
}

func TestReloadAppliesValidSettings(t *testing.T) {
	tests := map[string]struct {
		before, after config.Settings
		reloaded      []string
		changed       string
	}{
		"entry":     {entrySettings(1), entrySettings(2), []string{"one", "two"}, "callers.max_body_bytes"},
		"gateway":   {gatewaySettings(1), gatewaySettings(2), []string{"door"}, "callers.max_body_bytes"},
		"no change": {entrySettings(1), entrySettings(1), []string{"one", "two"}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var reloaded []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &reloaded, &inForce), reloadDuty("two", config.RoleEntry, &reloaded, &inForce),
				reloadDuty("door", config.RoleGateway, &reloaded, &inForce))
			kn, mh := startKernel(t, tc.before)
			g.Expect(reloaded).To(BeEmpty())
			g.Expect(kn.Reload(tc.after)).To(Succeed())
			want := Defaults(tc.after)
			g.Expect(want.Routing.Policy).To(HavePrefix("default of"))
			g.Expect(reloaded).To(Equal(tc.reloaded))
			g.Expect(inForce).To(HaveEach(want))
			g.Expect(kn.Settings()).To(Equal(want))
			last := mh.Entries[len(mh.Entries)-1]
			g.Expect(last.Message).To(Equal("settings reloaded"))
			g.Expect(last.Fields).To(HaveKeyWithValue("changed", tc.changed))
		})
	}
}

func TestReloadOfInvalidSettingsChangesNothing(t *testing.T) {
	nameless := entrySettings(2)
	nameless.Instance = ""
	tests := map[string]struct {
		before, after config.Settings
		want          []string
	}{
		"fault of one duty":     {gatewaySettings(1), gatewaySettings(-1), []string{"door wants more"}},
		"faults of two duties":  {entrySettings(1), entrySettings(-1), []string{"one wants more", "two wants more"}},
		"fault found by kernel": {entrySettings(1), nameless, []string{"a name unique among instances"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var reloaded []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &reloaded, &inForce), reloadDuty("two", config.RoleEntry, &reloaded, &inForce),
				reloadDuty("door", config.RoleGateway, &reloaded, &inForce))
			kn, mh := startKernel(t, tc.before)
			before, lines := kn.Settings(), len(mh.Entries)
			err := kn.Reload(tc.after)
			var fs config.Faults
			g.Expect(errors.As(err, &fs)).To(BeTrue(), "%v", err)
			var wants []string
			for _, ft := range fs {
				wants = append(wants, ft.Want)
			}
			g.Expect(wants).To(Equal(tc.want))
			g.Expect(reloaded).To(BeEmpty())
			g.Expect(kn.Settings()).To(Equal(before))
			g.Expect(mh.Entries).To(HaveLen(lines))
			// Valid settings are applied after invalid ones were refused.
			after := tc.before
			after.AvailabilityZone = "b"
			g.Expect(kn.Reload(after)).To(Succeed())
			g.Expect(kn.Settings().AvailabilityZone).To(Equal("b"))
			g.Expect(reloaded).NotTo(BeEmpty())
		})
	}
}

func TestReloadRefusesRoleChange(t *testing.T) {
	tests := map[string]struct{ before, after config.Settings }{
		"gateway to entry": {gatewaySettings(1), entrySettings(1)},
		"entry to gateway": {entrySettings(1), gatewaySettings(1)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var reloaded []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &reloaded, &inForce), reloadDuty("door", config.RoleGateway, &reloaded, &inForce))
			kn, _ := startKernel(t, tc.before)
			before := kn.Settings()
			var fs config.Faults
			g.Expect(errors.As(kn.Reload(tc.after), &fs)).To(BeTrue())
			g.Expect(reloaded).To(BeEmpty())
			g.Expect(kn.Settings()).To(Equal(before))
		})
	}
}

// TestStartedLineIdentifiesProcessAndSettings compares the log lines of three starts: equal settings have equal digests.
func TestStartedLineIdentifiesProcessAndSettings(t *testing.T) {
	g := NewWithT(t)
	registerOnly(t)
	line := func(s config.Settings) log.Fields {
		_, mh := startKernel(t, s)
		last := mh.Entries[len(mh.Entries)-1]
		g.Expect(last.Message).To(Equal("started"))
		return last.Fields
	}
	first, same, other := line(entrySettings(1)), line(entrySettings(1)), line(entrySettings(2))
	g.Expect(first).To(HaveKeyWithValue("incarnation", "i-1"))
	g.Expect(first).To(HaveKeyWithValue("availability_zone", "a"))
	g.Expect(first["pid"]).To(BeNumerically(">", 0))
	g.Expect(first["settings"]).To(Equal(same["settings"]))
	g.Expect(first["settings"]).NotTo(Equal(other["settings"]))
}

// stopTimeout is far longer than an unblocked stop takes.
const stopTimeout = 10 * time.Second

// stopDuty returns a duty whose Stop calls the given function.
func stopDuty(name string, ph Phase, stop func() error) Duty {
	return Duty{Name: name, Phase: ph, Start: func(context.Context, *Env) (Stop, error) {
		return func(context.Context) error { return stop() }, nil
	}}
}

// TestDutiesOfOnePhaseStopConcurrently guards against a duty that has no time left to stop because another duty of its phase, which
// waits for an external party, is stopped before it. Two duties of one phase each wait until the other is being stopped; a duty of an
// earlier phase must be stopped after both.
func TestDutiesOfOnePhaseStopConcurrently(t *testing.T) {
	g := NewWithT(t)
	firstStopping, secondStopping := make(chan struct{}), make(chan struct{})
	var ended atomic.Int32
	awaitOther := func(own chan<- struct{}, other <-chan struct{}) func() error {
		return func() error {
			close(own)
			select {
			case <-other:
				ended.Add(1)
			case <-time.After(stopTimeout):
			}
			return nil
		}
	}
	endedBeforeEarlier := int32(-1)
	registerOnly(t, stopDuty("one", PhaseListen, awaitOther(firstStopping, secondStopping)),
		stopDuty("two", PhaseListen, awaitOther(secondStopping, firstStopping)),
		stopDuty("ground", PhaseStore, func() error { endedBeforeEarlier = ended.Load(); return nil }))
	kn, _ := startKernel(t, entrySettings(1))
	g.Expect(kn.Stop(t.Context())).To(Succeed())
	g.Expect(endedBeforeEarlier).To(Equal(int32(2)))
}

func TestStopReturnsTheFirstError(t *testing.T) {
	failing := func(name string) func() error {
		return func() error { return &MissingDependencyError{Type: name} }
	}
	succeeding := func() error { return nil }
	tests := map[string]struct {
		duties []Duty
		want   string
	}{
		"last phase": {
			[]Duty{stopDuty("a", PhaseStore, failing("a")), stopDuty("b", PhaseListen, failing("b"))}, "stop b: no duty provides b",
		},
		"last duty of a phase": {
			[]Duty{stopDuty("a", PhaseListen, failing("a")), stopDuty("b", PhaseListen, failing("b"))}, "stop b: no duty provides b",
		},
		"earlier phase": {
			[]Duty{stopDuty("a", PhaseStore, failing("a")), stopDuty("b", PhaseListen, succeeding)}, "stop a: no duty provides a",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			registerOnly(t, tc.duties...)
			kn, _ := startKernel(t, entrySettings(1))
			NewWithT(t).Expect(kn.Stop(t.Context())).To(MatchError(tc.want))
		})
	}
}
