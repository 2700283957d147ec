package session

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
)

// authority signs certificates for instances on loopback.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	au := &authority{t: t, dir: t.TempDir()}
	au.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	au.key = au.write("authority", au.cert, nil)
	return au
}

// write makes a key, has the certificate signed by the authority, or by itself, and writes both as PEM files.
func (au *authority) write(name string, cert *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	g := NewWithT(au.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, au.cert, key.Public(), signer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(au.file(name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	kb, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(au.file(name+"-key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kb}), 0o600)).To(Succeed())
	return key
}

func (au *authority) file(name string) string { return filepath.Join(au.dir, name+".pem") }

// sign gives an instance a certificate in its settings.
func (au *authority) sign(s *config.Settings) {
	au.write(s.Instance, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, au.key)
	s.Peers.Certificate, s.Peers.Key, s.Peers.Authority = au.file(s.Instance), au.file(s.Instance+"-key"), au.file("authority")
}

func livePeers(in *instance.Instance) func() int {
	return func() int {
		fl, err := kernel.Need[*fleet.Fleet](in.Env())
		if err != nil {
			return -1
		}
		live := 0
		for _, p := range fl.Peers() {
			if p.Live {
				live++
			}
		}
		return live
	}
}

func TestUnknownPeersAreTurnedAway(t *testing.T) {
	tests := map[string]struct {
		ours, stranger func(t *testing.T) func(*config.Settings)
	}{
		"another secret": {
			ours: func(*testing.T) func(*config.Settings) { return func(*config.Settings) {} },
			stranger: func(*testing.T) func(*config.Settings) {
				return func(s *config.Settings) { s.Peers.Secret = "not-our-secret" }
			},
		},
		"another authority": {
			ours:     func(t *testing.T) func(*config.Settings) { return newAuthority(t).sign },
			stranger: func(t *testing.T) func(*config.Settings) { return newAuthority(t).sign },
		},
		"no certificate": {
			ours:     func(t *testing.T) func(*config.Settings) { return newAuthority(t).sign },
			stranger: func(*testing.T) func(*config.Settings) { return func(*config.Settings) {} },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, Params: fast(200), Adjust: tc.ours(t)})
			g.Expect(livePeers(lf.Instances[0])()).To(Equal(1))
			s := lf.Settings(2)
			s.Peers.Certificate, s.Peers.Key, s.Peers.Authority = "", "", ""
			tc.stranger(t)(&s)
			in, err := instance.Start(t.Context(), s, quiet())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = in.Stop(t.Context()) }()
			g.Consistently(livePeers(in), 800*time.Millisecond).Should(BeZero())
			g.Expect(livePeers(lf.Instances[0])()).To(Equal(1))
		})
	}
}
