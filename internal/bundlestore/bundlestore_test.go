package bundlestore

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/platformsim"
)

func TestGetReadsOnlyChangedParts(t *testing.T) {
	g := NewWithT(t)
	store := platformsim.New()
	srv := httptest.NewServer(store.Handler())
	defer srv.Close()
	client := objectstore.New(srv.URL, objectstore.WithRates(1000, 1000))
	b := bundle.Bundle{Version: 1, Classes: []bundle.Class{{
		Name: "c", Deadline: config.Duration(time.Second), Objective: bundle.Objective{Share: 0.9},
	}}}
	for i := range 500 {
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: fmt.Sprintf("o%d", i)})
	}
	g.Expect(New(client).Create(t.Context(), b)).To(Succeed())
	reader := New(client)
	whole, err := reader.Get(t.Context(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Organisations).To(HaveLen(500))
	b.Organisations[7].MaxConcurrent = 3
	g.Expect(New(client).Create(t.Context(), b.WithVersion(2, 1))).To(Succeed())
	before, _ := store.CallCounts()
	whole, err = reader.Get(t.Context(), 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Organisations).To(ContainElement(b.Organisations[7]))
	after, _ := store.CallCounts()
	g.Expect(after-before).To(Equal(2), "the index and one part")
}
