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

// closedConn is a caller's connection that has been closed: writes are buffered, and flushing them fails.
type closedConn struct{ *httptest.ResponseRecorder }

// FlushError returns errClosed.
func (closedConn) FlushError() error { return errClosed }

// TestUndeliveredRefusalIsLogged closes the connection of a caller before its request is refused.
func TestUndeliveredRefusalIsLogged(t *testing.T) {
	g := NewWithT(t)
	h := memory.New()
	gw := newGateway(&routes.Holder{}, h)
	gw.ServeHTTP(closedConn{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
	var messages []string
	for _, e := range h.Entries {
		messages = append(messages, e.Message)
	}
	g.Expect(messages).To(Equal([]string{"request refused", "response not delivered"}))
	g.Expect(h.Entries[0].Fields).To(HaveKeyWithValue("state", "received"))
	g.Expect(gw.InFlight()).To(Equal(gateway.InFlight{}))
}
