// Package cmd holds the commands, one file each.
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
	"github.com/silvermount/silvermount/internal/hangup"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// options are shared by all commands.
type options struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level logged"`

	out io.Writer
	err io.Writer
}

func (op *options) logger() *log.Logger {
	return &log.Logger{Handler: logfmt.New(op.err), Level: log.MustParseLevel(op.LogLevel)}
}

// untilAskedToStop returns a context that ends when the process is asked to stop.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// command is one entry of the list of commands.
type command struct {
	name, short string
	build       func(*options) any
}

// Main runs a command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	op := &options{out: out, err: errOut}
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

// execute runs a command. A hang-up ends all but an instance.
func execute(cm flags.Commander, args []string) error {
	if cm == nil {
		return nil
	}
	if _, ok := cm.(*entryCommand); !ok {
		hangup.RestoreDefault()
	}
	return cm.Execute(args)
}

func reportError(w io.Writer, err error) int {
	fmt.Fprintln(w, err)
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	var fs config.Faults
	if errors.As(err, &fs) {
		return exitUsage
	}
	return exitFailure
}
