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
	eventStream         = "text/event-stream"
)

// usage is the size of a request, in tokens.
type usage struct {
	prompt, answer int
}

// usageOf reports false when the request does not name its size.
func usageOf(rq *http.Request) (usage, bool) {
	first, second, _ := strings.Cut(rq.Header.Get(HeaderTokenUsage), ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || prompt < 0 {
		return usage{}, false
	}
	answer, err := strconv.Atoi(strings.TrimSpace(second))
	return usage{prompt: prompt, answer: answer}, err == nil && answer > 0
}

// check returns the memory that a request needs at this engine, or why it is not taken.
func (en *Engine) check(rq *http.Request) (int, *fault.Response) {
	want := rq.Header.Get(HeaderExpectVersion)
	if want != "" && want != strconv.Itoa(en.Version()) {
		an := fault.NewResponse(http.StatusMisdirectedRequest, nil).WithHeader(fault.HeaderInstance, en.InstanceID())
		return 0, &an
	}
	us, ok := usageOf(rq)
	if !ok {
		an := fault.Refusal(http.StatusBadRequest)
		return 0, &an
	}
	helpers, ok := parseHelpers(rq.Header.Get(fault.HeaderHelpers))
	if !ok {
		an := fault.Refusal(http.StatusBadRequest)
		return 0, &an
	}
	lent, lacking := en.lent(helpers)
	if lacking != "" {
		an := refusalAt(lacking)
		return 0, &an
	}
	return max(0, us.prompt+us.answer-lent), nil
}

// refusalAt refuses a request because of the engine at that address.
func refusalAt(address string) fault.Response {
	return fault.Refusal(http.StatusServiceUnavailable).WithHeader(fault.HeaderAtServer, address)
}

// run reads the prompt, and returns a stream that begins with the first event that the caller lacks.
func (en *Engine) run(ctx context.Context, rq *http.Request, begin func()) fault.Response {
	helpers, _ := parseHelpers(rq.Header.Get(fault.HeaderHelpers)) // check has refused those that do not parse
	uctx := en.useHelpers(ctx, helpers)
	us, _ := usageOf(rq) // as above
	readers := time.Duration(1 + len(helpers))
	if !sleep(uctx, en.paced(time.Duration(us.prompt)*en.settings.PrefillPerToken/readers)) {
		return refusalAt(cmp.Or(lostHelper(uctx), en.Address()))
	}
	begin()
	return en.stream(uctx, rq, us)
}

func (en *Engine) stream(ctx context.Context, rq *http.Request, us usage) fault.Response {
	version := en.Version()
	last := (us.answer + en.settings.TokensPerEvent - 1) / en.settings.TokensPerEvent
	from, err := strconv.Atoi(rq.Header.Get(fault.HeaderLastEventID))
	if err != nil {
		from = 0 // a request without a number starts at the beginning
	}
	body := func(send func([]byte) bool) bool {
		told := version
		for id := from + 1; id <= last; id++ {
			if !sleep(ctx, en.paced(en.settings.EventInterval)) {
				return false
			}
			now := en.Version()
			if !send(event(rq, id, now, now != told)) {
				return false
			}
			told = now
		}
		return true
	}
	an := fault.Response{Status: http.StatusOK, Header: http.Header{}, Length: fault.Chunked, Body: body}
	return an.WithHeader("Content-Type", eventStream).WithHeader(HeaderVersions, strconv.Itoa(version))
}

// event returns one event; its data depends on the request and the id alone, so that any engine can go on.
func event(rq *http.Request, id, version int, changed bool) []byte {
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
