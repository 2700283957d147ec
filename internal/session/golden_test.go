package session

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

	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/serve"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

var update = flag.Bool("update", false, "renew the golden files")

// changing are the parts of an answer that differ from run to run.
var changing = []struct {
	pattern *regexp.Regexp
	by      string
}{
	{regexp.MustCompile(`(att|req|inst|ticket|job|claim)-[0-9a-f]{16}`), "$1-ID"},
	{regexp.MustCompile(`"(created|deadline|ended)":"[^"]*"`), `"$1":"TIME"`},
}

// transcript writes what one caller sends and gets, in the order of the calls.
type transcript struct {
	t   *testing.T
	buf bytes.Buffer
}

// shownHeaders are those that the callers' protocol promises.
var shownHeaders = []string{"Content-Type", "Retry-After", serve.HeaderRequestID, serve.HeaderBundle}

func (tr *transcript) call(title, method, url, path string, body []byte, headers ...string) reply {
	rep := call(tr.t, method, url+path, body, headers...)
	fmt.Fprintf(&tr.buf, "## %s\n> %s %s\n", title, method, path)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&tr.buf, "> %s: %s\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&tr.buf, "> %.120s\n< %d\n", body, rep.status)
	for _, h := range shownHeaders {
		if v := rep.header.Get(h); v != "" {
			fmt.Fprintf(&tr.buf, "< %s: %s\n", h, v)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(rep.body), "\n") {
		fmt.Fprintf(&tr.buf, "< %s\n", line)
	}
	tr.buf.WriteString("\n")
	return rep
}

func (tr *transcript) compare(name string) {
	tr.t.Helper()
	g := NewWithT(tr.t)
	got := tr.buf.String()
	for _, c := range changing {
		got = c.pattern.ReplaceAllString(got, c.by)
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

// TestGoldenDay is a caller's day with faults, call by call.
func TestGoldenDay(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 2, Params: fast(400)})
	one, two := lf.URLs()[0], lf.URLs()[1]
	tr := &transcript{t: t}
	tr.call("models", http.MethodGet, one, "/v1/models", nil)
	tr.call("a plain completion", http.MethodPost, one, "/v1/completions", completion("burst main in Heol Fawr", 3, false))
	tr.call("the same as a stream", http.MethodPost, two, "/v1/completions", completion("burst main in Heol Fawr", 3, true))
	chat := []byte(`{"model":"address","messages":[{"role":"user","content":"where is valve 7"}],"max_tokens":2}`)
	tr.call("chat", http.MethodPost, one, "/v1/chat/completions", chat)
	tr.call("a key that nobody has", http.MethodGet, one, "/v1/models", nil, "Authorization", "Bearer wrong")
	tr.call("a class that there is not", http.MethodPost, one, "/v1/completions", completion("x", 1, false), serve.HeaderClass, "none")
	tr.call("a model that there is not", http.MethodPost, one, "/v1/completions", []byte(`{"model":"none"}`))
	tr.call("a body that is no JSON", http.MethodPost, one, "/v1/completions", []byte(`{`))
	tr.call("a time limit that is none", http.MethodPost, one, "/v1/completions", completion("x", 1, false), serve.HeaderTimeout, "soon")
	key := []string{serve.HeaderKey, "valve-7", servicesim.HeaderRequestName, "valve-7"}
	tr.call("a valve record with a key", http.MethodPost, one, valvePath, []byte("open"), key...)
	tr.call("the same again, elsewhere", http.MethodPost, two, valvePath, []byte("open"), key...)
	tr.call("the key for another record", http.MethodPost, two, valvePath, []byte("close"), key...)
	lf.Services.DropAfterRun(1)
	lost := []string{serve.HeaderKey, "valve-8", servicesim.HeaderRequestName, "valve-8"}
	tr.call("the service runs and breaks off", http.MethodPost, one, valvePath, []byte("open"), lost...)
	tr.call("asked again", http.MethodPost, two, valvePath, []byte("open"), lost...)
	lf.Store.SetDown(true)
	tr.call("a key while the store is down", http.MethodPost, one, valvePath, []byte("open"), serve.HeaderKey, "valve-9", serve.HeaderTimeout, "200ms")
	ticket := []string{serve.HeaderTicket, ticketFrom(t, one), servicesim.HeaderRequestName, "valve-10"}
	tr.call("a ticket while the store is down, at another instance", http.MethodPost, two, valvePath, []byte("open"), ticket...)
	tr.call("the ticket again", http.MethodPost, one, valvePath, []byte("open"), ticket...)
	lf.Store.SetDown(false)
	lf.Engines[0].SetHung(true)
	tr.call("an engine that never answers", http.MethodPost, one, "/v1/completions", completion("x", 1, false), serve.HeaderTimeout, "200ms")
	lf.Engines[0].SetHung(false)
	lf.Engines[0].Kill()
	g.Eventually(func() string {
		return call(t, http.MethodPost, one+"/v1/completions", completion("x", 1, false)).code
	}, 5*time.Second).Should(Equal("no_target"))
	tr.call("no engine left", http.MethodPost, one, "/v1/completions", completion("x", 1, false))
	tr.compare("day")
}
