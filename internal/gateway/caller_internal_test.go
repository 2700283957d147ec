package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestCallerIsRecognisedOverItsRequests guards against callers that lose their promised place because their next request has another id, and against
// callers that take the place of others.
func TestCallerIsRecognisedOverItsRequests(t *testing.T) {
	base := func() *request {
		rq := &request{host: "h", path: "/p", requestURI: "/p", method: "POST", body: []byte("prompt")}
		rq.RequestID, rq.PromptTokens, rq.PromptParts = "1", 5000, []string{"system", "session"}
		return rq
	}
	tests := map[string]struct {
		edit func(rq *request)
		same bool
	}{
		"another id":           {func(rq *request) { rq.RequestID = "2" }, true},
		"another service":      {func(rq *request) { rq.service = "s" }, true},
		"another prompt":       {func(rq *request) { rq.PromptParts = []string{"system", "other"} }, false},
		"another organisation": {func(rq *request) { rq.org.Name = "o" }, false},
		"another path":         {func(rq *request) { rq.path = "/q" }, false},
		"no parts":             {func(rq *request) { rq.PromptParts = nil }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			one, other := base(), base()
			tc.edit(other)
			one.setFingerprints()
			other.setFingerprints()
			g.Expect(one.caller() == other.caller()).To(Equal(tc.same))
		})
	}
}
