package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/localfleet"
)

// response is an HTTP response with its complete body, and the code and outcome of its error object, if any.
type response struct {
	status  int
	body    string
	header  http.Header
	code    string
	outcome string
}

// call sends one request to an instance and reads the complete response. headers are pairs of name and value.
func call(t *testing.T, method, url string, body []byte, headers ...string) response {
	t.Helper()
	g := NewWithT(t)
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+localfleet.CallerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	var eb struct {
		Error struct{ Code, Outcome string }
	}
	_ = json.Unmarshal(b, &eb)
	return response{status: resp.StatusCode, body: string(b), header: resp.Header, code: eb.Error.Code, outcome: eb.Error.Outcome}
}

// completion returns the body of a text completion request.
func completion(prompt string, output int, stream bool) []byte {
	b, _ := json.Marshal(map[string]any{"model": localfleet.Model, "prompt": prompt, "max_tokens": output, "stream": stream})
	return b
}
