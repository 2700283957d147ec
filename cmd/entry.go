package cmd

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
)

type entryCommand struct {
	*options `no-flag:"true"`
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// Execute runs the instance until it is asked to stop.
func (ec *entryCommand) Execute([]string) error {
	s, err := config.Load(ec.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	in, err := instance.Start(ctx, s, ec.outLogger())
	if err != nil {
		return err
	}
	<-ctx.Done()
	return in.Stop(context.Background())
}
