package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
)

var errClosed = errors.New("connection closed")

// closed is a caller's connection that has ended: what is written is held back, and sending it fails.
type closed struct{ *httptest.ResponseRecorder }

// FlushError fails.
func (closed) FlushError() error { return errClosed }

// TestRefusalThatNobodyGotIsTold closes the connection of a caller before it is refused.
func TestRefusalThatNobodyGotIsTold(t *testing.T) {
	g := NewWithT(t)
	h := memory.New()
	gw := newGateway(&routes.Holder{}, h)
	gw.ServeHTTP(closed{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
	var said []string
	for _, e := range h.Entries {
		said = append(said, e.Message)
	}
	g.Expect(said).To(Equal([]string{"request refused", "answer not passed on"}))
	g.Expect(h.Entries[0].Fields).To(HaveKeyWithValue("state", "received"))
	g.Expect(gw.InFlight()).To(Equal(gateway.InFlight{}))
}
