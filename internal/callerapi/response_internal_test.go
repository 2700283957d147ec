package callerapi

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// TestRelayedResponseThatBreaksOffIsNotTakenForComplete guards against answers of plain services and of other instances that break off and
// reach the caller with an error message appended and an orderly end.
func TestRelayedResponseThatBreaksOffIsNotTakenForComplete(t *testing.T) {
	cases := map[string]struct {
		contentType, begun string
		wantStatus         int
		// wantWhole is set if the caller gets a whole response.
		wantWhole bool
	}{
		"plain answer":     {"text/plain", "half of", http.StatusOK, false},
		"stream":           {contentTypeEvents, "data: one\n\ndata: tw", http.StatusOK, false},
		"nothing received": {"text/plain", "", http.StatusBadGateway, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sk := newSink(w)
				body := io.MultiReader(strings.NewReader(tc.begun), iotest.ErrReader(io.ErrUnexpectedEOF))
				sk.writeError(copyResponse(sk, &http.Response{
					StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {tc.contentType}}, Body: io.NopCloser(body),
				}))
			}))
			defer sv.Close()
			resp, err := http.Get(sv.URL)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			g.Expect(resp.StatusCode).To(Equal(tc.wantStatus))
			g.Expect(err == nil).To(Equal(tc.wantWhole), "%q, %v", got, err)
			if !tc.wantWhole {
				g.Expect(string(got)).To(Equal(tc.begun))
			}
		})
	}
}
