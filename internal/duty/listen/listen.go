// Package listen is the duty that binds the listeners, so that their addresses are known before the instance announces them.
package listen

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/graceconn"
	"github.com/silvermount/silvermount/internal/kernel"
)

func init() {
	kernel.Register(kernel.Duty{Name: "listen", Phase: kernel.PhaseStore, Check: check, Start: start})
}

// Listeners are the bound listeners of an instance.
type Listeners struct {
	Callers, Operators, Peers net.Listener
	// CallersAddress is the address to which peers forward requests.
	CallersAddress string
}

func check(s config.Settings) config.Faults {
	fs := config.CheckListen("callers.listen", s.Callers.Listen)
	fs = append(fs, config.CheckListen("operators.listen", s.Operators.Listen)...)
	return append(fs, config.CheckListen("peers.listen", s.Peers.Listen)...)
}

func start(ctx context.Context, env *kernel.Env) (kernel.Stop, error) {
	ls := &Listeners{}
	s := env.Settings
	for _, b := range []struct {
		address string
		dst     *net.Listener
	}{{s.Callers.Listen, &ls.Callers}, {s.Operators.Listen, &ls.Operators}, {s.Peers.Listen, &ls.Peers}} {
		l, err := graceconn.Listen(ctx, b.address)
		if err != nil {
			ls.close()
			return nil, errors.Wrap(err, "bind listener")
		}
		*b.dst = l
	}
	ls.CallersAddress = s.Callers.Advertise
	if ls.CallersAddress == "" {
		ls.CallersAddress = ls.Callers.Addr().String()
	}
	kernel.Provide(env, ls)
	return func(context.Context) error { ls.close(); return nil }, nil
}

func (ls *Listeners) close() {
	for _, l := range []net.Listener{ls.Callers, ls.Operators, ls.Peers} {
		if l != nil {
			_ = l.Close() // a listener may have been closed by its server
		}
	}
}
