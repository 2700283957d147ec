// Package cancels is the duty that sends cancellations of attempts to engines.
package cancels

import (
	"context"

	"github.com/silvermount/silvermount/internal/cancel"
	"github.com/silvermount/silvermount/internal/kernel"
)

func init() {
	kernel.Register(kernel.Duty{Name: "cancels", Phase: kernel.PhaseWork, Start: start})
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	cn := cancel.New()
	kernel.Provide(env, cn)
	return kernel.Go(cn.Run), nil
}
