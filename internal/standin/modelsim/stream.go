package modelsim

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

// The headers of the protocol that concern models.
const (
	HeaderTokenUsage    = "X-Token-Usage"
	HeaderPromptPrefix  = "X-Prompt-Prefix"
	HeaderVersions      = "Versions"
	HeaderExpectVersion = "Expect-Version"
	eventStreamType     = "text/event-stream"
)

// usage is the size of a request in tokens.
type usage struct {
	promptTokens, answerTokens int
}

// parseUsage reports false when the request has no valid HeaderTokenUsage.
func parseUsage(rq *http.Request) (usage, bool) {
	first, second, _ := strings.Cut(rq.Header.Get(HeaderTokenUsage), ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || prompt < 0 {
		return usage{}, false
	}
	answer, err := strconv.Atoi(strings.TrimSpace(second))
	return usage{promptTokens: prompt, answerTokens: answer}, err == nil && answer > 0
}

// check returns the memory that a request needs at this engine, in tokens, or a refusal.
func (en *Engine) check(rq *http.Request) (int, *targetsim.Response) {
	want := rq.Header.Get(HeaderExpectVersion)
	if want != "" && want != strconv.Itoa(en.Version()) {
		rs := targetsim.NewResponse(http.StatusMisdirectedRequest, nil).WithHeader(targetsim.HeaderInstance, en.InstanceID())
		return 0, &rs
	}
	us, ok := parseUsage(rq)
	if !ok {
		rs := targetsim.Refusal(http.StatusBadRequest)
		return 0, &rs
	}
	helpers, ok := parseHelpers(rq.Header.Get(targetsim.HeaderHelpers))
	if !ok {
		rs := targetsim.Refusal(http.StatusBadRequest)
		return 0, &rs
	}
	lent, unavailable := en.lentTokens(helpers)
	if unavailable != "" {
		rs := refusalNaming(unavailable)
		return 0, &rs
	}
	return max(0, us.promptTokens+us.answerTokens-lent), nil
}

// refusalNaming returns the refusal of a request that the engine at the address made impossible.
func refusalNaming(address string) targetsim.Response {
	return targetsim.Refusal(http.StatusServiceUnavailable).WithHeader(targetsim.HeaderAtServer, address)
}

// run computes the prefill together with the helpers, and returns a stream that begins with the first event that the
// caller has not received yet.
func (en *Engine) run(ctx context.Context, rq *http.Request, begin func()) targetsim.Response {
	helpers, _ := parseHelpers(rq.Header.Get(targetsim.HeaderHelpers)) // check has refused requests with invalid headers
	hctx := en.engageHelpers(ctx, helpers)
	us, _ := parseUsage(rq) // check has refused requests with invalid headers
	engines := time.Duration(1 + len(helpers))
	if !sleep(hctx, en.slowed(time.Duration(us.promptTokens)*en.settings.PrefillPerToken/engines)) {
		return refusalNaming(cmp.Or(lostHelperAddress(hctx), en.Address()))
	}
	begin()
	return en.stream(hctx, rq, us)
}

func (en *Engine) stream(ctx context.Context, rq *http.Request, us usage) targetsim.Response {
	version := en.Version()
	last := (us.answerTokens + en.settings.TokensPerEvent - 1) / en.settings.TokensPerEvent
	lastReceived, err := strconv.Atoi(rq.Header.Get(targetsim.HeaderLastEventID))
	if err != nil {
		lastReceived = 0 // a request without a valid event id gets the stream from its start
	}
	body := func(send func([]byte) bool) bool {
		sentVersion := version
		for id := lastReceived + 1; id <= last; id++ {
			if n := en.settings.SilentAfter; n > 0 && id-lastReceived > n {
				<-ctx.Done()
				return false
			}
			if !sleep(ctx, en.slowed(en.settings.EventInterval)) {
				return false
			}
			current := en.Version()
			if !send(encodeEvent(rq, id, current, current != sentVersion)) {
				return false
			}
			sentVersion = current
		}
		return true
	}
	rs := targetsim.Response{Status: http.StatusOK, Header: http.Header{}, Length: targetsim.Chunked, Body: body}
	return rs.WithHeader("Content-Type", eventStreamType).WithHeader(HeaderVersions, strconv.Itoa(version))
}

// encodeEvent returns one event. Its data depends on the request and the event id alone, so that any engine can resume the
// stream.
func encodeEvent(rq *http.Request, id, version int, changed bool) []byte {
	var buf bytes.Buffer
	if changed {
		fmt.Fprintf(&buf, "versions: %d\n", version)
	}
	fmt.Fprintf(&buf, "id: %d\ndata: %s\n\n", id, EventData(rq.RequestURI, rq.Header.Get(HeaderPromptPrefix), id))
	return buf.Bytes()
}

// EventData returns the data of an event in the response to a request with this URI and prompt prefix.
func EventData(uri, prefix string, id int) string {
	const hashDigits = 16 // enough digits of the hash to distinguish responses
	return fmt.Sprintf("%s-%d", targetsim.Hash([]byte(uri + "\n" + prefix))[:hashDigits], id)
}

// sleep reports false when ctx ends before d is over.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
