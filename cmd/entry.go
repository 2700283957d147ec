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

// logDrainTimeout limits the time to write the remaining log lines at exit.
const logDrainTimeout = 300 * time.Millisecond

// Execute runs the instance until SIGTERM or SIGINT. SIGHUP reloads the settings.
func (ec *entryCommand) Execute([]string) error {
	// SIGHUP is registered first, because one received during the start must not end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, cancel := signalContext()
	defer cancel()
	s, err := config.Load(ec.Settings)
	if err != nil {
		return err
	}
	metricsSet := metrics.NewSet()
	sink := eventlog.New(ec.out, eventlog.WithMetrics(metricsSet), eventlog.WithInstance(s.Instance))
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logDrainTimeout)
		defer cancel()
		if err := sink.Close(ctx); err != nil {
			// Standard output does not accept the remaining lines, so that the error is printed to standard error.
			fmt.Fprintln(ec.err, "log:", err)
		}
	}()
	lg := &log.Logger{Handler: sink, Level: log.MustParseLevel(ec.LogLevel)}
	inst, err := instance.Start(ctx, s, lg, append(ec.instanceOptions, instance.WithMetrics(metricsSet))...)
	if err != nil {
		lg.WithField("part", "kernel").WithField("instance", s.Instance).WithError(err).Error("instance not started")
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return inst.Stop(context.Background())
		case <-reloads:
			ec.reload(inst, lg.WithField("instance", s.Instance))
		}
	}
}

// reload reads the settings file again. Settings with faults are not applied.
func (ec *entryCommand) reload(inst *instance.Instance, lg log.Interface) {
	s, err := config.Load(ec.Settings)
	if err == nil {
		err = inst.Reload(s)
	}
	if err != nil {
		lg.WithField("part", "settings").WithError(err).Error("settings not reloaded; the previous settings stay in force")
	}
}
