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

// only registers the duties for one test in place of all others.
func registerOnly(t *testing.T, duties ...Duty) {
	t.Helper()
	before := registry
	registry = nil
	t.Cleanup(func() { registry = before })
	for _, d := range duties {
		Register(d)
	}
}

// limiter returns a duty that puts the bound of one body in force when settings are reloaded. It appends to told.
func reloadDuty(name string, role config.Role, told *[]string, inForce *[]config.Settings) Duty {
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
				*told = append(*told, name)
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
		told          []string
		changed       string
	}{
		"entry":          {entrySettings(1), entrySettings(2), []string{"one", "two"}, "callers.max_body_bytes"},
		"gateway":        {gatewaySettings(1), gatewaySettings(2), []string{"door"}, "callers.max_body_bytes"},
		"nothing is new": {entrySettings(1), entrySettings(1), []string{"one", "two"}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var told []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &told, &inForce), reloadDuty("two", config.RoleEntry, &told, &inForce),
				reloadDuty("door", config.RoleGateway, &told, &inForce))
			kn, mh := startKernel(t, tc.before)
			g.Expect(told).To(BeEmpty())
			g.Expect(kn.Reload(tc.after)).To(Succeed())
			want := Defaults(tc.after)
			g.Expect(want.Routing.Policy).To(HavePrefix("default of"))
			g.Expect(told).To(Equal(tc.told))
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
		"one duty finds a fault": {gatewaySettings(1), gatewaySettings(-1), []string{"door wants more"}},
		"two duties do":          {entrySettings(1), entrySettings(-1), []string{"one wants more", "two wants more"}},
		"the kernel does":        {entrySettings(1), nameless, []string{"a name unique among instances"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var told []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &told, &inForce), reloadDuty("two", config.RoleEntry, &told, &inForce),
				reloadDuty("door", config.RoleGateway, &told, &inForce))
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
			g.Expect(told).To(BeEmpty())
			g.Expect(kn.Settings()).To(Equal(before))
			g.Expect(mh.Entries).To(HaveLen(lines))
			// Good settings after bad ones are put in force.
			after := tc.before
			after.AvailabilityZone = "b"
			g.Expect(kn.Reload(after)).To(Succeed())
			g.Expect(kn.Settings().AvailabilityZone).To(Equal("b"))
			g.Expect(told).NotTo(BeEmpty())
		})
	}
}

func TestReloadRefusesRoleChange(t *testing.T) {
	tests := map[string]struct{ before, after config.Settings }{
		"a gateway": {gatewaySettings(1), entrySettings(1)},
		"an entry":  {entrySettings(1), gatewaySettings(1)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var told []string
			var inForce []config.Settings
			registerOnly(t, reloadDuty("one", "", &told, &inForce), reloadDuty("door", config.RoleGateway, &told, &inForce))
			kn, _ := startKernel(t, tc.before)
			before := kn.Settings()
			var fs config.Faults
			g.Expect(errors.As(kn.Reload(tc.after), &fs)).To(BeTrue())
			g.Expect(told).To(BeEmpty())
			g.Expect(kn.Settings()).To(Equal(before))
		})
	}
}

// TestStartedSaysWhichProcessAndWhatFrom compares the lines of three starts.
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

// patience is far longer than a stop takes that nothing holds up.
const stopTimeout = 10 * time.Second

// stopper returns a duty whose stop notes its name and runs a function.
func stopDuty(name string, ph Phase, stop func() error) Duty {
	return Duty{Name: name, Phase: ph, Start: func(context.Context, *Env) (Stop, error) {
		return func(context.Context) error { return stop() }, nil
	}}
}

// TestStopOfOnePhaseRunsBesideEachOther has two duties of a phase that each wait for the other's stop, and one of an
// earlier phase that must not be stopped before they are.
//
// Symptom: a duty has no time left to stop in.
// Sequence: a duty of its phase waits for somebody outside when it is stopped.
// Cause: the duties of a phase stop one after the other.
func TestDutiesOfOnePhaseStopConcurrently(t *testing.T) {
	g := NewWithT(t)
	one, two := make(chan struct{}), make(chan struct{})
	var ended atomic.Int32
	meet := func(mine chan<- struct{}, other <-chan struct{}) func() error {
		return func() error {
			close(mine)
			select {
			case <-other:
				ended.Add(1)
			case <-time.After(stopTimeout):
			}
			return nil
		}
	}
	endedBefore := int32(-1)
	registerOnly(t, stopDuty("one", PhaseListen, meet(one, two)), stopDuty("two", PhaseListen, meet(two, one)),
		stopDuty("ground", PhaseStore, func() error { endedBefore = ended.Load(); return nil }))
	kn, _ := startKernel(t, entrySettings(1))
	g.Expect(kn.Stop(t.Context())).To(Succeed())
	g.Expect(endedBefore).To(Equal(int32(2)))
}

func TestStopReturnsTheFirstError(t *testing.T) {
	boom := func(name string) func() error {
		return func() error { return &MissingDependencyError{Type: name} }
	}
	well := func() error { return nil }
	tests := map[string]struct {
		duties []Duty
		want   string
	}{
		"of the last phase": {
			[]Duty{stopDuty("a", PhaseStore, boom("a")), stopDuty("b", PhaseListen, boom("b"))}, "stop b: no duty provides b",
		},
		"of the last duty in a phase": {
			[]Duty{stopDuty("a", PhaseListen, boom("a")), stopDuty("b", PhaseListen, boom("b"))}, "stop b: no duty provides b",
		},
		"of an earlier phase": {
			[]Duty{stopDuty("a", PhaseStore, boom("a")), stopDuty("b", PhaseListen, well)}, "stop a: no duty provides a",
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
