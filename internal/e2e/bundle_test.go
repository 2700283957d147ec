package e2e

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/signoff"
)

// bundleVersion returns a function that reads the bundle version in force at an instance; -1 if it has no bundle holder.
func bundleVersion(in *instance.Instance) func() int64 {
	holder, err := kernel.Resolve[*bundlestate.Holder](in.Env())
	if err != nil {
		return func() int64 { return -1 }
	}
	return holder.Version
}

// signBundleWithKey pushes and signs a bundle with an additional organisation whose caller key is key.
func signBundleWithKey(t *testing.T, lf *localfleet.Fleet, key string) {
	t.Helper()
	g := NewWithT(t)
	b := localfleet.DefaultBundle()
	b.Organisations = append(b.Organisations, bundle.Organisation{Name: "org-" + key, KeyDigests: []string{bundle.KeyDigest(key)}})
	signer := signoff.New(objectstore.New(lf.StoreURL))
	v, err := signer.Push(t.Context(), b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(signer.Accept(t.Context(), v)).To(Succeed())
}

func TestSignedBundleReachesAllInstancesAndNeverReverts(t *testing.T) {
	g := NewWithT(t)
	storeFronts := map[string]*localfleet.StoreProxy{}
	lf := startFleet(t, localfleet.Options{
		Zones: 3, Engines: 3, Instances: 3, EngineParams: fastEngines(200),
		AdjustSettings: func(s *config.Settings) {
			fr, err := localfleet.NewStoreProxy(s.Platform.URL)
			g.Expect(err).NotTo(HaveOccurred())
			storeFronts[s.Instance] = fr
			s.Platform.URL = fr.URL
			s.Peers.Seeds = nil
		},
	})
	// One instance cannot reach the platform, so it gets the bundle from its peers.
	storeFronts["entry-01"].SetBlocked(true)
	signBundleWithKey(t, lf, "second-key")
	for _, in := range lf.Instances {
		g.Eventually(bundleVersion(in), 2*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
	}
	resp := call(t, http.MethodGet, lf.URLs()[1]+"/v1/models", nil, "Authorization", "Bearer second-key")
	g.Expect(resp.status).To(Equal(http.StatusOK))
	// The store now returns an older pointer, as a lagging replica would. No instance may revert to it.
	g.Expect(lf.Store.Put(objectstore.KindPointers, bundlestate.PointerName, bundlestate.Pointer{Version: 1})).To(Succeed())
	for _, in := range lf.Instances {
		g.Consistently(bundleVersion(in), 300*time.Millisecond).Should(Equal(int64(2)))
	}
}

// TestNewInstanceGetsBundleFromPeerDuringOutage starts an instance that has never reached the platform, as a peer of an
// instance that has the bundle.
func TestNewInstanceGetsBundleFromPeerDuringOutage(t *testing.T) {
	g := NewWithT(t)
	lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(200)})
	signBundleWithKey(t, lf, "second-key")
	g.Eventually(bundleVersion(lf.Instances[0]), 2*time.Second).Should(Equal(int64(2)))
	lf.Store.SetDown(true)
	s := lf.Settings(1)
	s.Peers.Seeds = []string{lf.Instances[0].PeersAddress()}
	in, err := instance.Start(t.Context(), s, discardLogger())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = in.Stop(t.Context()) }()
	g.Eventually(bundleVersion(in), 5*time.Second).Should(Equal(int64(2)))
}
