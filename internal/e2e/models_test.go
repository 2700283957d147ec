package e2e

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/signoff"
)

// TestSignedBundleLoadsModels signs a bundle with a second model and waits until it is served. The first model must be served
// throughout.
func TestSignedBundleLoadsModels(t *testing.T) {
	g := NewWithT(t)
	p := fastEngines(100)
	p.FenceOrders = true
	lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 3, Instances: 2, EngineParams: p})
	b := localfleet.DefaultBundle()
	b.Models = []bundle.Model{{Name: localfleet.Model, Copies: 1}, {Name: "crew", Copies: 1}}
	signer := signoff.New(objectstore.New(lf.StoreURL))
	v, err := signer.Push(t.Context(), b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(signer.Accept(t.Context(), v)).To(Succeed())
	statusOf := func(model string) func() int {
		body := []byte(`{"model":"` + model + `","prompt":"x","max_tokens":1}`)
		return func() int { return call(t, http.MethodPost, lf.URLs()[1]+"/v1/completions", body).status }
	}
	statusOfFirst := statusOf(localfleet.Model)
	g.Eventually(func() int {
		g.Expect(statusOfFirst()).To(Equal(http.StatusOK))
		return statusOf("crew")()
	}, 20*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	// The engine refuses an order with an older epoch, as a stalled former leaseholder would send it.
	target := lf.Engines[0]
	cl := engine.New(target.URL(), http.DefaultClient, http.DefaultClient)
	g.Expect(cl.Order(t.Context(), engine.Order{Epoch: 0, Sequence: 99})).NotTo(Succeed())
	g.Expect(target.RefusedOrderCount()).To(Equal(1))
	g.Expect(statusOf("crew")()).To(Equal(http.StatusOK))
	g.Expect(statusOfFirst()).To(Equal(http.StatusOK))
}
