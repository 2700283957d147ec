package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/body"
	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/policy"
)

// defaultOutputTokens is the assumed number of output tokens if a caller does not limit it.
const defaultOutputTokens = 256

// request is a caller's request in progress.
type request struct {
	id       string
	path     string
	org      bundle.Organisation
	class    bundle.Class
	inForce  *bundlestate.IndexedBundle
	arrived  time.Time
	deadline deadline.Deadline
	// atMostOnce is set if the request must not be sent again once it may have run.
	atMostOnce bool
	body       []byte
	// fields is set for inference requests only.
	fields inferenceFields
	life   lifecycle.Record
	// firstTokenAt is when the first token was received from a target; zero before.
	firstTokenAt time.Time
}

// inferenceFields are the fields of an inference request that admission and routing need.
type inferenceFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func (rq *request) remaining() time.Duration { return time.Until(rq.deadline.At) }

// isOver reports whether the deadline of a request has passed, its caller has disconnected or the instance stops. After a pause of the
// process, a failed attempt can be seen before the context ends.
func (rq *request) isOver(ctx context.Context) bool { return ctx.Err() != nil || rq.remaining() <= 0 }

// maxOutputTokens returns the caller's limit on output tokens, or defaultOutputTokens.
func (rq *request) maxOutputTokens() int {
	switch {
	case rq.fields.MaxTokens > 0:
		return rq.fields.MaxTokens
	case rq.fields.MaxCompletionTokens > 0:
		return rq.fields.MaxCompletionTokens
	default:
		return defaultOutputTokens
	}
}

func (rq *request) policyRequest(longTokens int) policy.Prompt {
	tokens := max(1, len(rq.body)/engine.BytesPerToken)
	return policy.Prompt{Tokens: tokens, MaxOutputTokens: rq.maxOutputTokens(), Long: tokens >= longTokens}
}

// newRequest authenticates a request and reads everything of it except its body.
func (sv *Server) newRequest(r *http.Request) (*request, error) {
	inf := sv.Bundles.Current()
	if inf == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	org, ok := inf.OrganisationByKey(key)
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "the bearer key is not known")
	}
	class, ok := inf.Class(r.Header.Get(HeaderClass))
	if !ok {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "no class %q", r.Header.Get(HeaderClass))
	}
	timeout, err := parseTimeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &request{
		id: ident.New("req"), path: r.URL.Path, org: org, class: class, inForce: inf, arrived: now,
		deadline: deadline.ForRequest(now, class.Deadline.Std(), timeout), atMostOnce: r.Header.Get(HeaderRepeat) == repeatNever,
	}, nil
}

// parseTimeout parses the timeout header of a request; zero without one.
func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, failure.New(failure.BadRequest, failure.NotRun, "%s must be a duration such as 2s, not %q", HeaderTimeout, value)
	}
	return d, nil
}

// logDeadlineError logs that a deadline could not be set on a caller's connection, which has then ended already. Writers
// without a connection, as in tests, do not support deadlines and are not logged.
func (sv *Server) logDeadlineError(rq *request, err error) {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return
	}
	sv.Log.WithError(err).WithField("request", rq.id).Info("cannot set deadline on caller connection")
}

// admit refuses a request if its organisation has reached its concurrency limit, else binds it to its deadline and to the
// abort at shutdown. release must be called exactly once.
func (sv *Server) admit(r *http.Request, rq *request, sk *sink) (ctx context.Context, release func(), err error) {
	if !sv.tryEnter(rq.org) {
		return nil, nil, failure.New(failure.LimitReached, failure.NotRun, "%s has %d requests in flight",
			rq.org.Name, rq.org.MaxConcurrent).WithRetryAfter(time.Second)
	}
	sv.logDeadlineError(rq, rq.deadline.Apply(sk.Controller(), rq.deadline.At))
	sk.SetDeadline(rq.deadline)
	ctx, abort := context.WithCancelCause(r.Context())
	detach := context.AfterFunc(sv.abortCtx, func() { abort(context.Cause(sv.abortCtx)) })
	ctx, cancel := rq.deadline.ContextWithPauseGrace(ctx)
	return ctx, func() {
		cancel()
		detach()
		abort(nil)
		sv.leave(rq.org)
	}, nil
}

// tryEnter counts a request of an organisation as in flight. It reports false if the organisation's limit is reached.
func (sv *Server) tryEnter(o bundle.Organisation) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if o.MaxConcurrent > 0 && sv.inFlightByOrganisation[o.Name] >= o.MaxConcurrent {
		return false
	}
	sv.inFlightByOrganisation[o.Name]++
	sv.inFlight.Add(1)
	return true
}

// leave ends the count of a request that tryEnter has counted.
func (sv *Server) leave(o bundle.Organisation) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.inFlightByOrganisation[o.Name]--
	if sv.inFlightByOrganisation[o.Name] == 0 {
		delete(sv.inFlightByOrganisation, o.Name)
	}
	sv.inFlight.Add(-1)
}

// readBody reads a body within the memory budget that all requests share. free returns the memory and is never nil.
func (sv *Server) readBody(r *http.Request) (b []byte, free func(), err error) {
	rd := body.Reader{Memory: sv.Bodies, MaxBytes: sv.limits.MaxBodyBytes, RetryAfter: time.Second, IncompleteCode: failure.BadRequest}
	return rd.Read(r)
}

// parse decodes the fields of an inference request, and checks its model and prompt length against the bundle.
func (rq *request) parse() error {
	if err := json.Unmarshal(rq.body, &rq.fields); err != nil {
		return failure.New(failure.BadRequest, failure.NotRun, "the body is not a JSON request").WithCause(err)
	}
	m, ok := rq.inForce.Model(rq.fields.Model)
	if !ok {
		return failure.New(failure.NotFound, failure.NotRun, "no model %q", rq.fields.Model)
	}
	if !rq.inForce.MayUse(rq.org, m.Name) {
		return failure.New(failure.Forbidden, failure.NotRun, "%s may not use %s", rq.org.Name, m.Name)
	}
	if tokens := len(rq.body) / engine.BytesPerToken; m.MaxTokens > 0 && tokens > m.MaxTokens {
		return failure.New(failure.TooLarge, failure.NotRun, "about %d tokens, %s takes %d", tokens, m.Name, m.MaxTokens)
	}
	return nil
}
