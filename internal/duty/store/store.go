// Package store is the duty that provides the client of the platform's object API.
package store

import (
	"context"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
)

func init() {
	kernel.Register(kernel.Duty{Name: "store", Phase: kernel.PhaseStore, Defaults: defaults, Check: check, Start: start})
}

func defaults(s *config.Settings) {
	p := &s.Platform
	if p.WritesPerSecond == 0 {
		p.WritesPerSecond = 10
	}
	if p.ReadsPerSecond == 0 {
		p.ReadsPerSecond = 50
	}
	if p.Timeout == 0 {
		p.Timeout = config.Duration(time.Second)
	}
	if p.Registration == 0 {
		p.Registration = config.Duration(30 * time.Second)
	}
}

func check(s config.Settings) config.Faults {
	var fs config.Faults
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" {
		fs = append(fs, &config.Fault{Path: "platform.url", Value: s.Platform.URL, Want: "a URL such as http://10.0.0.1:7000"})
	}
	if s.Platform.WritesPerSecond < 0 || s.Platform.ReadsPerSecond < 0 {
		fs = append(fs, &config.Fault{Path: "platform.writes_per_second", Value: "below zero", Want: "a positive number"})
	}
	return fs
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	set := metrics.NewSet()
	p := env.Settings.Platform
	reads, writes := set.NewCounter(`silvermount_store_calls_total{kind="read"}`), set.NewCounter(`silvermount_store_calls_total{kind="write"}`)
	cl := objectstore.New(p.URL, objectstore.WithRates(p.WritesPerSecond, p.ReadsPerSecond), objectstore.WithTimeout(p.Timeout.Std()),
		objectstore.WithOnCall(func(write bool) {
			if write {
				writes.Inc()
				return
			}
			reads.Inc()
		}))
	kernel.Provide(env, set)
	kernel.Provide(env, cl)
	return nil, nil
}
