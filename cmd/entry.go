package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/eventlog"
	"github.com/silvermount/silvermount/internal/instance"
)

type entryCommand struct {
	*options `no-flag:"true"`
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// logDrain bounds the writing of the last log lines.
const logDrainTimeout = 300 * time.Millisecond

// Execute runs the instance until it is asked to stop. A hang-up signal reloads the settings.
func (ec *entryCommand) Execute([]string) error {
	// Registered before anything else: a hang-up during the start must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := signalContext()
	defer cancel()
	s, err := config.Load(ec.Settings)
	if err != nil {
		return err
	}
	ms := metrics.NewSet()
	sk := eventlog.New(ec.out, eventlog.WithMetrics(ms), eventlog.WithInstance(s.Instance))
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logDrainTimeout)
		defer cancel()
		if err := sk.Close(ctx); err != nil {
			// Standard output does not take the last lines.
			fmt.Fprintln(ec.err, "log:", err)
		}
	}()
	lg := &log.Logger{Handler: sk, Level: log.MustParseLevel(ec.LogLevel)}
	in, err := instance.Start(ctx, s, lg, instance.WithMetrics(ms))
	if err != nil {
		lg.WithField("part", "kernel").WithField("instance", s.Instance).WithError(err).Error("not started")
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return in.Stop(context.Background())
		case <-hangups:
			ec.reload(in, lg.WithField("instance", s.Instance))
		}
	}
}

// reload reads the settings again; those that are not good change nothing.
func (ec *entryCommand) reload(in *instance.Instance, lg log.Interface) {
	s, err := config.Load(ec.Settings)
	if err == nil {
		err = in.Reload(s)
	}
	if err != nil {
		lg.WithField("part", "settings").WithError(err).Error("settings not reloaded; the present ones stay in force")
	}
}
