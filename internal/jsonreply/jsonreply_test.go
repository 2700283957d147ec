package jsonreply_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/jsonreply"
)

func TestWriteSetsContentTypeAndBody(t *testing.T) {
	g := NewWithT(t)
	rec := httptest.NewRecorder()
	jsonreply.Write(rec, map[string]int{"a": 1})
	g.Expect(rec.Code).To(Equal(http.StatusOK))
	g.Expect(rec.Header().Get("Content-Type")).To(Equal("application/json"))
	g.Expect(rec.Body.String()).To(MatchJSON(`{"a":1}`))
}
