package cmd

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/standin/enginesim"
	"github.com/silvermount/silvermount/internal/standin/platformsim"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

type standinCommand struct {
	*options `no-flag:"true"`
	Listen   string   `long:"listen" default:"127.0.0.1:7000" description:"address to listen on"`
	Models   []string `long:"model" description:"model that an engine serves; may be repeated"`
	Scale    float64  `long:"scale" default:"1" description:"engine times are divided by this"`
	Args     struct {
		Kind string `positional-arg-name:"platform|engine|service" required:"true"`
	} `positional-args:"true" required:"true"`
}

// UnknownKindError means that there is no stand-in of the requested kind.
type UnknownKindError struct{ Kind string }

// Error includes the kind and lists the valid ones.
func (ue *UnknownKindError) Error() string {
	return "no stand-in " + ue.Kind + "; there are platform, engine and service"
}

func (sc *standinCommand) handler() (http.Handler, error) {
	switch sc.Args.Kind {
	case "platform":
		return platformsim.New().Handler(), nil
	case "engine":
		p := enginesim.DefaultParams()
		p.Speedup = sc.Scale
		return enginesim.New(p, sc.Models...).Handler(), nil
	case "service":
		return servicesim.New(), nil
	default:
		return nil, &UnknownKindError{Kind: sc.Args.Kind}
	}
}

// Execute serves the stand-in until SIGTERM or SIGINT.
func (sc *standinCommand) Execute([]string) error {
	h, err := sc.handler()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	srv := &http.Server{Addr: sc.Listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // The stand-in has no state to save.
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve stand-in")
	}
	return nil
}
