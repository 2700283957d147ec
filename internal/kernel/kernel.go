// Package kernel registers the duties, which are the components of an instance, and starts, reloads and stops them in order.
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

// Phase orders the start of duties. Phases stop in reverse order; the duties of one phase stop concurrently.
type Phase int

// The phases, in start order.
const (
	PhaseStore Phase = iota
	PhaseKnowledge
	PhasePeers
	PhaseWork
	PhaseListen
)

// Duty is one component of an instance. All function fields except Start may be nil.
type Duty struct {
	// Name is unique among registered duties.
	Name string
	// Role selects the instances that run the duty; empty means config.RoleEntry.
	Role config.Role
	// Phase says when the duty starts.
	Phase Phase
	// Defaults sets default values for empty settings.
	Defaults func(*config.Settings)
	// Check returns the faults of the settings that the duty uses.
	Check func(config.Settings) config.Faults
	// Start returns once the duty is ready. The returned Stop is called once; it may be nil.
	Start func(ctx context.Context, env *Env) (Stop, error)
}

// appliesTo reports whether an instance with the given settings runs the duty.
func (d Duty) appliesTo(s config.Settings) bool { return cmp.Or(d.Role, config.RoleEntry) == s.Role() }

// Stop stops a duty and returns by the deadline of ctx.
type Stop func(ctx context.Context) error

// SkipError is returned by Duty.Start when the duty decides not to run. The kernel logs the reason and starts the other duties.
type SkipError struct {
	// Reason is a short sentence in lower case.
	Reason string
}

// Error includes the reason.
func (sk *SkipError) Error() string { return "skipped: " + sk.Reason }

// StartError means that a duty failed to start.
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

// MissingDependencyError means that a duty asked for a value of a type that no earlier duty has provided.
type MissingDependencyError struct {
	// Type is the requested type.
	Type string
}

// Error names the type.
func (me *MissingDependencyError) Error() string { return "no duty provides " + me.Type }

var registry []Duty

// Register adds a duty to the registry. It must be called from init functions only, and panics if the name is already taken.
func Register(d Duty) {
	for _, other := range registry {
		if other.Name == d.Name {
			panic(fmt.Sprintf("kernel: duty %q registered twice", d.Name))
		}
	}
	registry = append(registry, d)
	slices.SortStableFunc(registry, func(a, b Duty) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Name, b.Name))
	})
}

// Defaults returns the settings with the defaults of every duty that applies to them.
func Defaults(s config.Settings) config.Settings {
	for _, d := range registry {
		if d.Defaults != nil && d.appliesTo(s) {
			d.Defaults(&s)
		}
	}
	return s
}

// Check returns all faults of the settings: those that the kernel finds and those that the duties find.
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

// Env holds what the duties of one instance share.
type Env struct {
	// Settings are the settings at start, with defaults and checked. A reload does not change them; use OnReload to get newer ones.
	Settings config.Settings
	// Incarnation identifies this run of the instance.
	Incarnation string
	// Log adds the instance name to every line.
	Log log.Interface
	// Stopping is set when the instance starts to stop, and never reset.
	Stopping atomic.Bool

	// provided holds the values shared between duties, by their type.
	provided map[reflect.Type]any
	// reloadHooks are called with the new settings in start order of their duties.
	reloadHooks []func(config.Settings)
}

// OnReload registers a function that applies reloaded settings. Duties call OnReload in their Start.
func (ev *Env) OnReload(f func(config.Settings)) { ev.reloadHooks = append(ev.reloadHooks, f) }

// Logger returns a logger that adds the given part to every line.
func (ev *Env) Logger(part string) log.Interface { return ev.Log.WithField("part", part) }

// Provide shares a value with later duties, which get it from Resolve by its type.
func Provide[T any](env *Env, value T) { env.provided[reflect.TypeFor[T]()] = value }

// Resolve returns the value of a type that an earlier duty provided, or a MissingDependencyError.
func Resolve[T any](env *Env) (T, error) {
	value, ok := env.provided[reflect.TypeFor[T]()].(T)
	if !ok {
		return value, &MissingDependencyError{Type: reflect.TypeFor[T]().String()}
	}
	return value, nil
}

// runningDuty is a started duty that must be stopped.
type runningDuty struct {
	name  string
	phase Phase
	stop  Stop
}

// Kernel runs the duties of one instance.
type Kernel struct {
	// Env is passed to every duty.
	Env *Env
	// running holds the started duties in start order.
	running []runningDuty
	// current are the settings in force, including reloads. Env.Settings remain those of the start.
	current config.Settings
}

// New returns a kernel that has not started any duty. It applies defaults to the settings and checks them.
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

// Start starts every duty in order. If one fails, Start stops those already started.
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
			if stopErr := kn.Stop(ctx); stopErr != nil {
				kn.Env.Logger("kernel").WithError(stopErr).Warn("failed to stop duties after a duty failed to start")
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

// logStarted logs the identity of this process and a digest of its settings. Logs of peers name the incarnation, and equal
// digests mean equal settings.
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

// settingsDigestBytes is the number of bytes of the settings digest that are logged: enough to distinguish the settings files of a
// fleet.
const settingsDigestBytes = 6

// Reload applies new settings as far as running duties support it. If the settings have faults or change the role, nothing changes.
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

// Settings returns the settings in force, including reloads.
func (kn *Kernel) Settings() config.Settings { return kn.current }

// Stop stops the running duties, beginning with the last phase, and returns the first error in reverse start order.
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

// lastPhaseStart returns the index of the first duty of the last running phase. rs must not be empty.
func lastPhaseStart(rs []runningDuty) int {
	last := rs[len(rs)-1].phase
	return slices.IndexFunc(rs, func(r runningDuty) bool { return r.phase == last })
}

// stopConcurrently stops duties in parallel, so that a duty that waits for an external party does not use up the time that the
// others have to stop.
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
