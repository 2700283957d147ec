// Package peers is the duty that runs the peer mesh, which links the instance to the others.
package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/admission"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/listen"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/peer"
)

func init() {
	kernel.Register(kernel.Duty{Name: "peers", Phase: kernel.PhasePeers, Defaults: defaults, Check: check, Start: start})
}

const minSecretLength = 8

func defaults(s *config.Settings) {
	if s.Peers.Heartbeat == 0 {
		s.Peers.Heartbeat = config.Duration(500 * time.Millisecond)
	}
	if s.Peers.FullMesh == 0 {
		s.Peers.FullMesh = 32
	}
	if s.Peers.RemoteLinks == 0 {
		s.Peers.RemoteLinks = 2
	}
	if s.Peers.RemoteEvery == 0 {
		s.Peers.RemoteEvery = 1
	}
}

func check(s config.Settings) config.Faults {
	var fs config.Faults
	p := s.Peers
	files := 0
	for _, f := range []string{p.Certificate, p.Key, p.Authority} {
		if f != "" {
			files++
		}
	}
	if files != 0 && files != 3 {
		fs = append(fs, &config.Fault{Path: "peers.certificate", Value: p.Certificate, Want: "certificate, key and authority together"})
	}
	if files == 0 && len(p.Secret) < minSecretLength {
		fs = append(fs, &config.Fault{Path: "peers.secret", Value: strconv.Itoa(len(p.Secret)) + " characters", Want: "at least 8, or certificates"})
	}
	if span := p.Heartbeat.Std() * time.Duration(max(1, p.RemoteEvery)); 2*span > p.Lost.Std() {
		fs = append(fs, &config.Fault{Path: "peers.lost", Value: p.Lost.Std().String(), Want: "at least two heartbeats of the slowest kind"})
	}
	for _, a := range p.Seeds {
		fs = append(fs, config.CheckListen("peers.seeds", a)...)
	}
	return fs
}

// ZoneBlocked reports whether an availability zone is cut off. Tests and experiments may provide one to partition the mesh.
type ZoneBlocked func(zone string) bool

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	fl, err := kernel.Resolve[*fleet.Fleet](env)
	if err != nil {
		return nil, err
	}
	holder, err := kernel.Resolve[*bundlestate.Holder](env)
	if err != nil {
		return nil, err
	}
	ls, err := kernel.Resolve[*listen.Listeners](env)
	if err != nil {
		return nil, err
	}
	p := env.Settings.Peers
	tc, err := tlsConfig(p)
	if err != nil {
		return nil, err
	}
	blocked, err := kernel.Resolve[ZoneBlocked](env)
	if err != nil {
		blocked = func(string) bool { return false }
	}
	ledger := admission.New(env.Settings.Routing.LongPerTarget, fl.Utilisation, time.Now)
	ms := peer.New(fl, holder, ledger, env.Stopping.Load, peer.Options{
		Secret: p.Secret, TLS: tc, Heartbeat: p.Heartbeat.Std(), RemoteHeartbeatDivisor: p.RemoteEvery, Seeds: p.Seeds,
		MaxFullMeshPeers: p.FullMesh, RemoteLinksPerZone: p.RemoteLinks,
		ZoneBlocked: blocked, Log: env.Logger("peers"),
	})
	kernel.Provide(env, ms)
	server := kernel.Go(func(ctx context.Context) {
		if err := ms.Serve(ctx, ls.Peers); err != nil && ctx.Err() == nil {
			env.Logger("peers").WithError(err).Error("listener failed")
		}
	})
	links := kernel.Go(ms.Run)
	return func(ctx context.Context) error {
		if err := links(ctx); err != nil {
			return err
		}
		return server(ctx)
	}, nil
}

func tlsConfig(p config.Peers) (*tls.Config, error) {
	if p.Certificate == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	pem, err := os.ReadFile(p.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, config.Faults{{Path: "peers.authority", Value: p.Authority, Want: "a PEM file with a certificate"}}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
