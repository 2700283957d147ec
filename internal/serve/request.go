package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/body"
	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/rollout"
)

// defaultOutput is assumed where a caller sets no bound on generated tokens.
const defaultOutput = 256

// request is one caller's request on its way.
type request struct {
	id      string
	path    string
	org     bundle.Organisation
	class   bundle.Class
	inForce *rollout.InForce
	arrived time.Time
	due     deadline.Deadline
	// never is set when nothing of the request may be sent to a second target.
	never bool
	body  []byte
	// fields is set for inference.
	fields fields
	life   life.Record
	// firstAt is when the first token was passed on; zero before.
	firstAt time.Time
}

// fields is the part of a body that decisions need.
type fields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func (rq *request) left() time.Duration { return time.Until(rq.due.At) }

func (rq *request) output() int {
	switch {
	case rq.fields.MaxTokens > 0:
		return rq.fields.MaxTokens
	case rq.fields.MaxCompletionTokens > 0:
		return rq.fields.MaxCompletionTokens
	default:
		return defaultOutput
	}
}

func (rq *request) policyRequest(longTokens int) policy.Prompt {
	tokens := max(1, len(rq.body)/engine.BytesPerToken)
	return policy.Prompt{Tokens: tokens, MaxOutputTokens: rq.output(), Long: tokens >= longTokens}
}

// open reads everything of a request but its body.
func (sv *Server) open(r *http.Request) (*request, error) {
	inf := sv.Bundles.Current()
	if inf == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	org, ok := inf.Organisation(key)
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "the bearer key is not known")
	}
	class, ok := inf.Class(r.Header.Get(HeaderClass))
	if !ok {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "no class %q", r.Header.Get(HeaderClass))
	}
	asked, err := timeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &request{
		id: ident.New("req"), path: r.URL.Path, org: org, class: class, inForce: inf, arrived: now,
		due: deadline.Of(now, class.Deadline.Std(), asked), never: r.Header.Get(HeaderRepeat) == repeatNever,
	}, nil
}

// timeout returns the time limit that a caller asks for; zero when it asks for none.
func timeout(asked string) (time.Duration, error) {
	if asked == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(asked)
	if err != nil || d <= 0 {
		return 0, failure.New(failure.BadRequest, failure.NotRun, "%s must be a duration such as 2s, not %q", HeaderTimeout, asked)
	}
	return d, nil
}

// logDeadline says that a caller's connection took no deadline: it has ended already. A writer that is no connection, as
// in tests, has none.
func (sv *Server) logDeadline(rq *request, err error) {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return
	}
	sv.Log.WithError(err).WithField("request", rq.id).Info("connection takes no deadline")
}

// begin bounds a request by its deadline and its organisation's limit. end is called exactly once.
func (sv *Server) begin(r *http.Request, rq *request, sk *sink) (ctx context.Context, end func(), err error) {
	if !sv.enter(rq.org) {
		return nil, nil, failure.New(failure.LimitReached, failure.NotRun, "%s has %d requests in flight",
			rq.org.Name, rq.org.MaxConcurrent).WithRetryAfter(time.Second)
	}
	sv.logDeadline(rq, rq.due.Bind(sk.Control(), rq.due.At))
	sk.Due(rq.due)
	ctx, giveUp := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(sv.over, func() { giveUp(context.Cause(sv.over)) })
	ctx, cancel := rq.due.Context(ctx)
	return ctx, func() {
		cancel()
		stop()
		giveUp(nil)
		sv.leave(rq.org)
	}, nil
}

func (sv *Server) enter(o bundle.Organisation) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if o.MaxConcurrent > 0 && sv.byOrganisation[o.Name] >= o.MaxConcurrent {
		return false
	}
	sv.byOrganisation[o.Name]++
	sv.inFlight.Add(1)
	return true
}

func (sv *Server) leave(o bundle.Organisation) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.byOrganisation[o.Name]--
	if sv.byOrganisation[o.Name] == 0 {
		delete(sv.byOrganisation, o.Name)
	}
	sv.inFlight.Add(-1)
}

// readBody reads a body under the shared budget. free is never nil.
func (sv *Server) readBody(r *http.Request) (b []byte, free func(), err error) {
	rd := body.Reader{Memory: sv.Bodies, Most: sv.limits.MaxBodyBytes, ComeBack: time.Second, Broken: failure.BadRequest}
	return rd.Read(r)
}

// parse reads the fields of an inference request and checks them against the bundle.
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
