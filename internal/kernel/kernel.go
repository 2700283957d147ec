// Package kernel starts and stops the duties of one instance.
package kernel

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/config"
)

// Phase orders the start of duties. The phases stop in the reverse order, the duties of one phase beside each other.
type Phase int

// The phases, in the order in which they start.
const (
	PhaseStore Phase = iota
	PhaseKnowledge
	PhasePeers
	PhaseWork
	PhaseListen
)

// Duty is one part of an instance. Its function fields may be nil, but for Start.
type Duty struct {
	// Name is unique among registered duties.
	Name string
	// Role is that of the instances that run the duty; empty for config.RoleEntry.
	Role config.Role
	// Phase says when the duty starts.
	Phase Phase
	// Defaults fills in settings that were left empty.
	Defaults func(*config.Settings)
	// Check returns what is wrong with the settings.
	Check func(config.Settings) config.Faults
	// Start returns once the duty serves; Stop is called once.
	Start func(ctx context.Context, env *Env) (Stop, error)
}

// serves reports whether an instance with the settings runs the duty.
func (d Duty) appliesTo(s config.Settings) bool { return cmp.Or(d.Role, config.RoleEntry) == s.Role() }

// Stop ends a duty within the time of ctx.
type Stop func(ctx context.Context) error

// Skip is the typed reason for which a duty does not run.
type SkipError struct {
	// Reason is a short lower-case sentence.
	Reason string
}

// Error returns the reason.
func (sk *SkipError) Error() string { return "skipped: " + sk.Reason }

// StartError says which duty did not start.
type StartError struct {
	// Duty is the name of the duty.
	Duty string
	// Cause is never nil.
	Cause error
}

// Error names the duty and the cause.
func (se *StartError) Error() string { return "start " + se.Duty + ": " + se.Cause.Error() }

// Unwrap returns the cause.
func (se *StartError) Unwrap() error { return se.Cause }

// MissingPartError says that a duty needs a part that none has provided.
type MissingDependencyError struct {
	// Type is the type that was asked for.
	Type string
}

// Error names the type.
func (me *MissingDependencyError) Error() string { return "no duty provides " + me.Type }

var registry []Duty

// Register adds a duty. It is called from init functions only, and panics on a name used twice.
func Register(d Duty) {
	for _, have := range registry {
		if have.Name == d.Name {
			panic(fmt.Sprintf("kernel: duty %q registered twice", d.Name))
		}
	}
	registry = append(registry, d)
	slices.SortStableFunc(registry, func(a, b Duty) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Name, b.Name))
	})
}

// Defaults fills in the defaults of every duty.
func Defaults(s config.Settings) config.Settings {
	for _, d := range registry {
		if d.Defaults != nil && d.appliesTo(s) {
			d.Defaults(&s)
		}
	}
	return s
}

// Check returns all that is wrong with the settings, over all duties.
func Check(s config.Settings) config.Faults {
	var all config.Faults
	if s.Instance == "" {
		all = append(all, &config.Fault{Path: "instance", Want: "a name unique among instances"})
	}
	if s.AvailabilityZone == "" {
		all = append(all, &config.Fault{Path: "availability_zone", Want: "the name of an availability zone"})
	}
	for _, d := range registry {
		if d.Check != nil && d.appliesTo(s) {
			all = append(all, d.Check(s)...)
		}
	}
	return all
}

// Env is what the duties of one instance share.
type Env struct {
	// Settings are complete and checked. They stay those of the start; OnReload tells of newer ones.
	Settings config.Settings
	// Incarnation is unique to this run of the instance.
	Incarnation string
	// Log carries the name of the instance.
	Log log.Interface
	// Stopping is set once and never taken back.
	Stopping atomic.Bool

	provided map[reflect.Type]any
	// reloads are called with new settings, in the order of the duties.
	reloadHooks []func(config.Settings)
}

// OnReload adds a function that puts new settings in force while the instance runs. It is called by duties that start.
func (ev *Env) OnReload(f func(config.Settings)) { ev.reloadHooks = append(ev.reloadHooks, f) }

// Logger returns a logger whose lines start with the fixed prefix of one part.
func (ev *Env) Logger(part string) log.Interface { return ev.Log.WithField("part", part) }

// Provide puts a part where later duties find it.
func Provide[T any](env *Env, part T) { env.provided[reflect.TypeFor[T]()] = part }

// Need returns a part that an earlier duty provided.
func Resolve[T any](env *Env) (T, error) {
	part, ok := env.provided[reflect.TypeFor[T]()].(T)
	if !ok {
		return part, &MissingDependencyError{Type: reflect.TypeFor[T]().String()}
	}
	return part, nil
}

type runningDuty struct {
	name  string
	phase Phase
	stop  Stop
}

// Kernel is one running instance.
type Kernel struct {
	// Env is shared with the duties.
	Env *Env
	// running is in the order of start.
	running []runningDuty
	// current is what is in force after reloads; Env.Settings stay those of the start.
	current config.Settings
}

// New prepares an instance. Settings are filled with defaults and checked.
func New(s config.Settings, incarnation string, lg log.Interface) (*Kernel, error) {
	s = Defaults(s)
	if err := Check(s).ErrorOrNil(); err != nil {
		return nil, err
	}
	env := &Env{
		Settings:    s,
		Incarnation: incarnation,
		Log:         lg.WithField("instance", s.Instance),
		provided:    map[reflect.Type]any{},
	}
	return &Kernel{Env: env, current: s}, nil
}

// Start starts every duty in order. When one fails, those already started are stopped.
func (kn *Kernel) Start(ctx context.Context) error {
	for _, d := range registry {
		if !d.appliesTo(kn.Env.Settings) {
			continue
		}
		stop, err := d.Start(ctx, kn.Env)
		var sk *SkipError
		if errors.As(err, &sk) {
			kn.Env.Logger("kernel").WithField("duty", d.Name).WithField("reason", sk.Reason).Info("duty skipped")
			continue
		}
		if err != nil {
			if serr := kn.Stop(ctx); serr != nil {
				kn.Env.Logger("kernel").WithError(serr).Warn("duty not stopped")
			}
			return &StartError{Duty: d.Name, Cause: err}
		}
		if stop != nil {
			kn.running = append(kn.running, runningDuty{name: d.Name, phase: d.Phase, stop: stop})
		}
	}
	kn.logStarted()
	return nil
}

// logStarted tells which process this is and from what it was started: peers name the incarnation, and equal digests are
// equal settings.
func (kn *Kernel) logStarted() {
	fs := log.Fields{
		"incarnation": kn.Env.Incarnation, "pid": os.Getpid(), "role": string(kn.Env.Settings.Role()),
		"availability_zone": kn.Env.Settings.AvailabilityZone,
	}
	if b, err := json.Marshal(kn.Env.Settings); err == nil {
		sum := sha256.Sum256(b)
		fs["settings"] = hex.EncodeToString(sum[:settingsDigestBytes])
	} else {
		fs["settings"] = err.Error()
	}
	kn.Env.Logger("kernel").WithFields(fs).Info("started")
}

// settingsDigest is how many bytes of the digest of the settings are logged; enough to tell the files of a fleet apart.
const settingsDigestBytes = 6

// Reload puts new settings in force as far as the duties can while they run. Settings that are not good change nothing.
func (kn *Kernel) Reload(s config.Settings) error {
	s = Defaults(s)
	if err := Check(s).ErrorOrNil(); err != nil {
		return err
	}
	if s.Role() != kn.Env.Settings.Role() {
		return config.Faults{{Path: "gateway", Value: string(s.Role()) + " role", Want: "the role that the instance started with"}}
	}
	changed := config.Changed(kn.current, s)
	for _, reload := range kn.Env.reloadHooks {
		reload(s)
	}
	kn.current = s
	kn.Env.Logger("kernel").WithField("changed", strings.Join(changed, ",")).Info("settings reloaded")
	return nil
}

// Settings returns what is in force, with what was reloaded.
func (kn *Kernel) Settings() config.Settings { return kn.current }

// Stop stops the running duties, those of the last phase first, and returns the first error in the reverse order of start.
func (kn *Kernel) Stop(ctx context.Context) error {
	kn.Env.Stopping.Store(true)
	var first error
	for len(kn.running) > 0 {
		begin := lastPhaseStart(kn.running)
		if err := stopConcurrently(ctx, kn.running[begin:]); first == nil {
			first = err
		}
		kn.running = kn.running[:begin]
	}
	lg := kn.Env.Logger("kernel").WithField("incarnation", kn.Env.Incarnation)
	if first != nil {
		lg = lg.WithField("cause", first.Error())
	}
	lg.Info("stopped")
	return first
}

// lastPhase returns where the duties of the last phase begin; there is at least one.
func lastPhaseStart(rs []runningDuty) int {
	last := rs[len(rs)-1].phase
	return slices.IndexFunc(rs, func(r runningDuty) bool { return r.phase == last })
}

// stopAll stops duties beside each other: one that waits for somebody outside must not take the others' time to stop.
func stopConcurrently(ctx context.Context, rs []runningDuty) error {
	errs := make([]error, len(rs))
	var wg sync.WaitGroup
	for i, r := range rs {
		wg.Go(func() { errs[i] = errors.Wrapf(r.stop(ctx), "stop %s", r.name) })
	}
	wg.Wait()
	for _, err := range slices.Backward(errs) {
		if err != nil {
			return err
		}
	}
	return nil
}
