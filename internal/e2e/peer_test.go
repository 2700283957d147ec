package e2e

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

// testCA is a certificate authority for instances on the loopback interface.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{t: t, dir: t.TempDir()}
	ca.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	ca.key = ca.write("authority", ca.cert, nil)
	return ca
}

// write generates a key, signs the certificate with signer, or with the new key if signer is nil, and writes both as PEM
// files.
func (ca *testCA) write(name string, cert *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	g := NewWithT(ca.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca.cert, key.Public(), signer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(ca.file(name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	kb, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(ca.file(name+"-key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kb}), 0o600)).To(Succeed())
	return key
}

func (ca *testCA) file(name string) string { return filepath.Join(ca.dir, name+".pem") }

// sign issues a certificate for an instance and sets it in the instance's settings.
func (ca *testCA) sign(s *config.Settings) {
	ca.write(s.Instance, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, ca.key)
	s.Peers.Certificate, s.Peers.Key, s.Peers.Authority = ca.file(s.Instance), ca.file(s.Instance+"-key"), ca.file("authority")
}

// livePeers returns a function that counts the live peers an instance knows; -1 if it has no fleet.
func livePeers(in *instance.Instance) func() int {
	return func() int {
		fl, err := kernel.Resolve[*fleet.Fleet](in.Env())
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

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	tests := map[string]struct {
		fleet, intruder func(t *testing.T) func(*config.Settings)
	}{
		"different secret": {
			fleet: func(*testing.T) func(*config.Settings) { return func(*config.Settings) {} },
			intruder: func(*testing.T) func(*config.Settings) {
				return func(s *config.Settings) { s.Peers.Secret = "not-our-secret" }
			},
		},
		"different certificate authority": {
			fleet:    func(t *testing.T) func(*config.Settings) { return newTestCA(t).sign },
			intruder: func(t *testing.T) func(*config.Settings) { return newTestCA(t).sign },
		},
		"no certificate": {
			fleet:    func(t *testing.T) func(*config.Settings) { return newTestCA(t).sign },
			intruder: func(*testing.T) func(*config.Settings) { return func(*config.Settings) {} },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, EngineParams: fastEngines(200), AdjustSettings: tc.fleet(t)})
			g.Expect(livePeers(lf.Instances[0])()).To(Equal(1))
			s := lf.Settings(2)
			s.Peers.Certificate, s.Peers.Key, s.Peers.Authority = "", "", ""
			tc.intruder(t)(&s)
			in, err := instance.Start(t.Context(), s, discardLogger())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = in.Stop(t.Context()) }()
			g.Consistently(livePeers(in), 800*time.Millisecond).Should(BeZero())
			g.Expect(livePeers(lf.Instances[0])()).To(Equal(1))
		})
	}
}
