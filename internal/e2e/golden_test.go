package e2e

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// volatileParts are the parts of a transcript that differ from run to run, and what replaces them.
var volatileParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`(att|req|inst|ticket|job|claim)-[0-9a-f]{16}`), "$1-ID"},
	{regexp.MustCompile(`"(created|deadline|ended)":"[^"]*"`), `"$1":"TIME"`},
}

// transcript records the requests of one caller and their responses in order.
type transcript struct {
	t   *testing.T
	buf bytes.Buffer
}

// recordedHeaders are the response headers that the protocol for callers specifies.
var recordedHeaders = []string{"Content-Type", "Retry-After", callerapi.HeaderRequestID, callerapi.HeaderBundle}

func (tr *transcript) call(title, method, url, path string, body []byte, headers ...string) response {
	resp := call(tr.t, method, url+path, body, headers...)
	fmt.Fprintf(&tr.buf, "## %s\n> %s %s\n", title, method, path)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&tr.buf, "> %s: %s\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&tr.buf, "> %.120s\n< %d\n", body, resp.status)
	for _, h := range recordedHeaders {
		if v := resp.header.Get(h); v != "" {
			fmt.Fprintf(&tr.buf, "< %s: %s\n", h, v)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(resp.body), "\n") {
		fmt.Fprintf(&tr.buf, "< %s\n", line)
	}
	tr.buf.WriteString("\n")
	return resp
}

// compare compares the transcript with its golden file, and first rewrites the file with -update.
func (tr *transcript) compare(name string) {
	tr.t.Helper()
	g := NewWithT(tr.t)
	got := tr.buf.String()
	for _, vp := range volatileParts {
		got = vp.pattern.ReplaceAllString(got, vp.replacement)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		g.Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		g.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(string(want)))
}

// TestCallerTranscript compares the responses to a sequence of requests, some with injected faults, with a golden file.
func TestCallerTranscript(t *testing.T) {
	g := NewWithT(t)
	lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, EngineParams: fastEngines(400)})
	one, two := lf.URLs()[0], lf.URLs()[1]
	tr := &transcript{t: t}
	tr.call("models", http.MethodGet, one, "/v1/models", nil)
	tr.call("plain completion", http.MethodPost, one, "/v1/completions", completion("burst main in Heol Fawr", 3, false))
	tr.call("same prompt as a stream", http.MethodPost, two, "/v1/completions", completion("burst main in Heol Fawr", 3, true))
	chat := []byte(`{"model":"address","messages":[{"role":"user","content":"where is valve 7"}],"max_tokens":2}`)
	tr.call("chat", http.MethodPost, one, "/v1/chat/completions", chat)
	tr.call("unknown bearer key", http.MethodGet, one, "/v1/models", nil, "Authorization", "Bearer wrong")
	tr.call("unknown class", http.MethodPost, one, "/v1/completions", completion("x", 1, false), callerapi.HeaderClass, "none")
	tr.call("unknown model", http.MethodPost, one, "/v1/completions", []byte(`{"model":"none"}`))
	tr.call("body is not JSON", http.MethodPost, one, "/v1/completions", []byte(`{`))
	tr.call("invalid timeout", http.MethodPost, one, "/v1/completions", completion("x", 1, false), callerapi.HeaderTimeout, "soon")
	key := []string{callerapi.HeaderIdempotencyKey, "valve-7", servicesim.HeaderRequestName, "valve-7"}
	tr.call("service request with an idempotency key", http.MethodPost, one, valvePath, []byte("open"), key...)
	tr.call("same request at another instance", http.MethodPost, two, valvePath, []byte("open"), key...)
	tr.call("same key with a different body", http.MethodPost, two, valvePath, []byte("close"), key...)
	lf.Service.DropAfterRun(1)
	lost := []string{callerapi.HeaderIdempotencyKey, "valve-8", servicesim.HeaderRequestName, "valve-8"}
	tr.call("service drops the connection after the run", http.MethodPost, one, valvePath, []byte("open"), lost...)
	tr.call("same request again", http.MethodPost, two, valvePath, []byte("open"), lost...)
	lf.Store.SetDown(true)
	tr.call("idempotency key while the store is down", http.MethodPost, one, valvePath, []byte("open"), callerapi.HeaderIdempotencyKey, "valve-9", callerapi.HeaderTimeout, "200ms")
	ticket := []string{callerapi.HeaderTicket, issueTicket(t, one), servicesim.HeaderRequestName, "valve-10"}
	tr.call("ticket at another instance while the store is down", http.MethodPost, two, valvePath, []byte("open"), ticket...)
	tr.call("same ticket again", http.MethodPost, one, valvePath, []byte("open"), ticket...)
	lf.Store.SetDown(false)
	lf.Engines[0].SetHung(true)
	tr.call("engine does not respond", http.MethodPost, one, "/v1/completions", completion("x", 1, false), callerapi.HeaderTimeout, "200ms")
	lf.Engines[0].SetHung(false)
	lf.Engines[0].Kill()
	g.Eventually(func() string {
		return call(t, http.MethodPost, one+"/v1/completions", completion("x", 1, false)).code
	}, 5*time.Second).Should(Equal("no_target"))
	tr.call("no engine left", http.MethodPost, one, "/v1/completions", completion("x", 1, false))
	tr.compare("callers")
}
