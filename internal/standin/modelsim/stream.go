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

	"github.com/silvermount/silvermount/internal/standin/fault"
)

// The headers of the protocol that concern models.
const (
	HeaderTokenUsage    = "X-Token-Usage"
	HeaderPromptPrefix  = "X-Prompt-Prefix"
	HeaderVersions      = "Versions"
	HeaderExpectVersion = "Expect-Version"
	eventStreamType     = "text/event-stream"
)

// usage is the size of a request, in tokens.
type usage struct {
	promptTokens, answerTokens int
}

// usageOf reports false when the request does not name its size.
func parseUsage(rq *http.Request) (usage, bool) {
	first, second, _ := strings.Cut(rq.Header.Get(HeaderTokenUsage), ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || prompt < 0 {
		return usage{}, false
	}
	answer, err := strconv.Atoi(strings.TrimSpace(second))
	return usage{promptTokens: prompt, answerTokens: answer}, err == nil && answer > 0
}

// check returns the memory that a request needs at this engine, or why it is not taken.
func (en *Engine) check(rq *http.Request) (int, *fault.Response) {
	want := rq.Header.Get(HeaderExpectVersion)
	if want != "" && want != strconv.Itoa(en.Version()) {
		an := fault.NewResponse(http.StatusMisdirectedRequest, nil).WithHeader(fault.HeaderInstance, en.InstanceID())
		return 0, &an
	}
	us, ok := parseUsage(rq)
	if !ok {
		an := fault.Refusal(http.StatusBadRequest)
		return 0, &an
	}
	helpers, ok := parseHelpers(rq.Header.Get(fault.HeaderHelpers))
	if !ok {
		an := fault.Refusal(http.StatusBadRequest)
		return 0, &an
	}
	lent, lacking := en.lentTokens(helpers)
	if lacking != "" {
		an := refusalNaming(lacking)
		return 0, &an
	}
	return max(0, us.promptTokens+us.answerTokens-lent), nil
}

// refusalAt refuses a request because of the engine at that address.
func refusalNaming(address string) fault.Response {
	return fault.Refusal(http.StatusServiceUnavailable).WithHeader(fault.HeaderAtServer, address)
}

// run reads the prompt, and returns a stream that begins with the first event that the caller lacks.
func (en *Engine) run(ctx context.Context, rq *http.Request, begin func()) fault.Response {
	helpers, _ := parseHelpers(rq.Header.Get(fault.HeaderHelpers)) // check has refused those that do not parse
	uctx := en.engageHelpers(ctx, helpers)
	us, _ := parseUsage(rq) // as above
	readers := time.Duration(1 + len(helpers))
	if !sleep(uctx, en.slowed(time.Duration(us.promptTokens)*en.settings.PrefillPerToken/readers)) {
		return refusalNaming(cmp.Or(lostHelperAddress(uctx), en.Address()))
	}
	begin()
	return en.stream(uctx, rq, us)
}

func (en *Engine) stream(ctx context.Context, rq *http.Request, us usage) fault.Response {
	version := en.Version()
	last := (us.answerTokens + en.settings.TokensPerEvent - 1) / en.settings.TokensPerEvent
	from, err := strconv.Atoi(rq.Header.Get(fault.HeaderLastEventID))
	if err != nil {
		from = 0 // a request without a number starts at the beginning
	}
	body := func(send func([]byte) bool) bool {
		told := version
		for id := from + 1; id <= last; id++ {
			if !sleep(ctx, en.slowed(en.settings.EventInterval)) {
				return false
			}
			now := en.Version()
			if !send(encodeEvent(rq, id, now, now != told)) {
				return false
			}
			told = now
		}
		return true
	}
	an := fault.Response{Status: http.StatusOK, Header: http.Header{}, Length: fault.Chunked, Body: body}
	return an.WithHeader("Content-Type", eventStreamType).WithHeader(HeaderVersions, strconv.Itoa(version))
}

// event returns one event; its data depends on the request and the id alone, so that any engine can go on.
func encodeEvent(rq *http.Request, id, version int, changed bool) []byte {
	var buf bytes.Buffer
	if changed {
		fmt.Fprintf(&buf, "versions: %d\n", version)
	}
	fmt.Fprintf(&buf, "id: %d\ndata: %s\n\n", id, EventData(rq.RequestURI, rq.Header.Get(HeaderPromptPrefix), id))
	return buf.Bytes()
}

// Data returns the data of an event of the answer to a request for a URI with a prompt prefix.
func EventData(uri, prefix string, id int) string {
	const hashBytes = 16 // of the hash, in hex digits; enough to tell answers apart
	return fmt.Sprintf("%s-%d", fault.Hash([]byte(uri + "\n" + prefix))[:hashBytes], id)
}

// sleep reports false when ctx ends first.
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
