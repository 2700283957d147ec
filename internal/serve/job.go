package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
)

// Job is a request that nobody waits for.
type Job struct {
	// Organisation and Class are names in the bundle.
	Organisation, Class string
	// Path is that of an inference request.
	Path string
	Body []byte
	// Deadline is when the answer is due.
	Deadline time.Time
	// Never is set when the job may not be run twice.
	AtMostOnce bool
}

// bodyWriter collects an answer as a connection would.
type bodyWriter struct {
	header http.Header
}

// Header returns the headers.
func (bw *bodyWriter) Header() http.Header { return bw.header }

// Write takes everything; the sink records it.
func (bw *bodyWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader takes the status; the sink records it.
func (bw *bodyWriter) WriteHeader(int) {}

// CheckJob reports what is wrong with a job before it is accepted.
func (sv *Server) ValidateJob(j Job) error {
	rq, err := sv.jobRequest(j)
	if err != nil {
		return err
	}
	if err := rq.parse(); err != nil {
		return err
	}
	if !rq.class.Job {
		return failure.New(failure.BadRequest, failure.NotRun, "class %s is for callers who wait", rq.class.Name)
	}
	if rq.fields.Stream {
		return failure.New(failure.BadRequest, failure.NotRun, "a job's answer is not streamed")
	}
	return nil
}

// RunJob runs a job and returns its whole answer.
func (sv *Server) RunJob(ctx context.Context, j Job) (claim.Response, error) {
	rq, err := sv.jobRequest(j)
	if err != nil {
		return claim.Response{}, err
	}
	if err := rq.parse(); err != nil {
		return claim.Response{}, err
	}
	size := int64(len(j.Body))
	if !sv.Bodies.TryAcquire(size) {
		return claim.Response{}, failure.New(failure.NoMemory, failure.NotRun, "no memory for the body").WithRetryAfter(time.Second)
	}
	defer sv.Bodies.Release(size)
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	sk := newSink(&bodyWriter{header: http.Header{}})
	sk.record = &claim.Response{BodyKept: true}
	err = sv.run(ctx, rq, sk)
	sv.account(rq, err)
	return *sk.record, err
}

func (sv *Server) jobRequest(j Job) (*request, error) {
	inf := sv.Bundles.Current()
	if inf == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	class, ok := inf.Class(j.Class)
	if !ok {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "no class %q", j.Class)
	}
	org, ok := inf.OrganisationNamed(j.Organisation)
	if !ok {
		return nil, failure.New(failure.Forbidden, failure.NotRun, "no organisation %q", j.Organisation)
	}
	return &request{
		id: ident.New("req"), path: j.Path, org: org, class: class, inForce: inf, arrived: time.Now(), due: deadline.Deadline{At: j.Deadline},
		never: j.AtMostOnce, body: j.Body,
	}, nil
}

// Caller is who a request comes from, and how long its work may take.
type Caller struct {
	Organisation string
	Class        string
	MaxDuration  time.Duration
	AtMostOnce   bool
}

// Identify tells who a request comes from.
func (sv *Server) Identify(r *http.Request) (Caller, error) {
	rq, err := sv.open(r)
	if err != nil {
		return Caller{}, err
	}
	return Caller{Organisation: rq.org.Name, Class: rq.class.Name, MaxDuration: rq.due.At.Sub(rq.arrived), AtMostOnce: rq.never}, nil
}

// ReadBody reads a body under the shared budget. free is never nil.
func (sv *Server) ReadBody(r *http.Request) (b []byte, free func(), err error) {
	return sv.readBody(r)
}

// Fail answers with a failure.
func WriteError(w http.ResponseWriter, err error) { newSink(w).fail(err) }

// JSON answers with a document.
func WriteJSON(w http.ResponseWriter, v any) { newSink(w).json(v) }
