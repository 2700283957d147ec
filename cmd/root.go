// Package cmd implements the subcommands of silvermount, one per file.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/sighup"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// options are the flags and output writers that all commands share.
type options struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level to log"`

	out io.Writer
	err io.Writer
	// instanceOptions configure the entry instance that a command runs.
	instanceOptions []instance.Option
}

// Option configures Main.
type Option func(*options)

// WithInstanceOptions configures the entry instance that a command runs.
func WithInstanceOptions(opts ...instance.Option) Option {
	return func(op *options) { op.instanceOptions = opts }
}

func (op *options) logger() *log.Logger {
	return &log.Logger{Handler: logfmt.New(op.err), Level: log.MustParseLevel(op.LogLevel)}
}

// signalContext returns a context that is cancelled when the process receives SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// command describes a subcommand and how to create it.
type command struct {
	name, short string
	build       func(*options) any
}

// Main runs the command that args name and returns the exit code.
func Main(args []string, out, errOut io.Writer, opts ...Option) int {
	op := &options{out: out, err: errOut}
	for _, opt := range opts {
		opt(op)
	}
	parser := flags.NewNamedParser("silvermount", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", op); err != nil {
		return reportError(errOut, err)
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.build(op)); err != nil {
			return reportError(errOut, err)
		}
	}
	parser.CommandHandler = execute
	if _, err := parser.ParseArgs(args); err != nil {
		return reportError(errOut, err)
	}
	return exitOK
}

// execute runs a command. SIGHUP ends every command except entry, which reloads its settings.
func execute(cm flags.Commander, args []string) error {
	if cm == nil {
		return nil
	}
	if _, ok := cm.(*entryCommand); !ok {
		sighup.RestoreDefault()
	}
	return cm.Execute(args)
}

// reportError prints an error and returns the exit code for it.
func reportError(w io.Writer, err error) int {
	fmt.Fprintln(w, err)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	var faults config.Faults
	if errors.As(err, &faults) {
		return exitUsage
	}
	return exitFailure
}
