package session

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/rollout"
	"github.com/silvermount/silvermount/internal/signoff"
)

func version(in *instance.Instance) func() int64 {
	holder, err := kernel.Need[*rollout.Holder](in.Env())
	if err != nil {
		return func() int64 { return -1 }
	}
	return holder.Version
}

// accept signs off a bundle with one more organisation, and returns that organisation's key.
func accept(t *testing.T, lf *localfleet.Fleet, key string) {
	t.Helper()
	g := NewWithT(t)
	b := localfleet.DefaultBundle()
	b.Organisations = append(b.Organisations, bundle.Organisation{Name: "org-" + key, KeyDigests: []string{bundle.KeyDigest(key)}})
	office := signoff.New(objectstore.New(lf.StoreURL))
	v, err := office.Push(t.Context(), b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(office.Sign(t.Context(), v)).To(Succeed())
}

func TestAcceptedBundleSpreadsAndNeverReverts(t *testing.T) {
	g := NewWithT(t)
	fronts := map[string]*localfleet.Front{}
	lf := start(t, localfleet.Options{
		Zones: 3, Engines: 3, Instances: 3, Params: fast(200),
		Adjust: func(s *config.Settings) {
			fr, err := localfleet.NewFront(s.Platform.URL)
			g.Expect(err).NotTo(HaveOccurred())
			fronts[s.Instance] = fr
			s.Platform.URL = fr.URL
			s.Peers.Seeds = nil
		},
	})
	// One instance cannot reach the platform: it learns from its peers.
	fronts["entry-01"].SetCut(true)
	accept(t, lf, "second-key")
	for _, in := range lf.Instances {
		g.Eventually(version(in), 2*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
	}
	rep := call(t, http.MethodGet, lf.URLs()[1]+"/v1/models", nil, "Authorization", "Bearer second-key")
	g.Expect(rep.status).To(Equal(http.StatusOK))
	// The store now shows an older pointer, as a lagging replica would: nobody goes back.
	g.Expect(lf.Store.Put(objectstore.KindPointers, rollout.PointerName, rollout.Pointer{Version: 1})).To(Succeed())
	for _, in := range lf.Instances {
		g.Consistently(version(in), 300*time.Millisecond).Should(Equal(int64(2)))
	}
}

// TestNewInstanceInAnOutage starts an instance that has never reached the platform, beside one that has the bundle.
func TestNewInstanceInAnOutage(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(200)})
	accept(t, lf, "second-key")
	g.Eventually(version(lf.Instances[0]), 2*time.Second).Should(Equal(int64(2)))
	lf.Store.SetDown(true)
	s := lf.Settings(1)
	s.Peers.Seeds = []string{lf.Instances[0].PeersAddress()}
	in, err := instance.Start(t.Context(), s, quiet())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = in.Stop(t.Context()) }()
	g.Eventually(version(in), 5*time.Second).Should(Equal(int64(2)))
}
