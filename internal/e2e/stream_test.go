package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/tokengen"
)

// streamText returns the text of an event stream. It fails the test if the stream does not end with [DONE].
func streamText(t *testing.T, body string) string {
	t.Helper()
	g := NewWithT(t)
	g.Expect(strings.TrimSpace(body)).To(HaveSuffix("data: [DONE]"))
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var ev struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		g.Expect(json.Unmarshal([]byte(data), &ev)).To(Succeed())
		text.WriteString(ev.Choices[0].Text + ev.Choices[0].Delta.Content)
	}
	return text.String()
}

func TestInterruptedStreamsAreCompleted(t *testing.T) {
	const output = 12
	chat := []byte(`{"model":"address","messages":[{"role":"user","content":"where is valve 7"}],"max_tokens":12,"stream":true}`)
	tests := map[string]struct {
		fault        func(*localfleet.Fleet)
		path, prompt string
		body         []byte
		resumed      bool
	}{
		"interrupted once, resumed": {
			fault: func(lf *localfleet.Fleet) { lf.Engines[0].BreakStreams(1) }, path: "/v1/completions", prompt: "hello",
			body: completion("hello", output, true), resumed: true,
		},
		"chat interrupted twice, resumed": {
			fault: func(lf *localfleet.Fleet) { lf.Engines[0].BreakStreams(2) }, path: "/v1/chat/completions", prompt: "where is valve 7",
			body: chat, resumed: true,
		},
		"interrupted more often than it is resumed, continued by a new attempt": {
			fault: func(lf *localfleet.Fleet) { lf.Engines[0].BreakStreams(3) }, path: "/v1/chat/completions", prompt: "where is valve 7",
			body: chat, resumed: true,
		},
		"response of another attempt, dropped": {
			fault: func(lf *localfleet.Fleet) { lf.Engines[0].MislabelResponses(1) }, path: "/v1/completions", prompt: "hello",
			body: completion("hello", output, true),
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := startFleet(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, EngineParams: fastEngines(50)})
			tc.fault(lf)
			resp := call(t, http.MethodPost, lf.URLs()[0]+tc.path, tc.body)
			g.Expect(resp.status).To(Equal(http.StatusOK), resp.body)
			g.Expect(streamText(t, resp.body)).To(Equal(tokengen.Generate(tc.prompt, output)))
			sv, err := kernel.Resolve[*callerapi.Server](lf.Instances[0].Env())
			g.Expect(err).NotTo(HaveOccurred())
			resumedCount := sv.Metrics.GetOrCreateCounter("silvermount_streams_resumed_total").Get()
			g.Expect(resumedCount > 0).To(Equal(tc.resumed))
			g.Eventually(lf.Engines[0].MemoryUsed).Should(BeZero())
		})
	}
}
