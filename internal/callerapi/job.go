package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
)

// Job is an asynchronous request: its caller does not wait for the response.
type Job struct {
	// Organisation and Class are names in the bundle.
	Organisation, Class string
	// Path is the path of an inference request, such as /v1/completions.
	Path string
	Body []byte
	// Deadline is the time by which the job must be complete.
	Deadline time.Time
	// AtMostOnce is set if the job must not run twice.
	AtMostOnce bool
}

// discardWriter is an http.ResponseWriter without a connection. It discards status and body, which the sink records.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (dw *discardWriter) Header() http.Header { return dw.header }

// Write discards b.
func (dw *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (dw *discardWriter) WriteHeader(int) {}

// ValidateJob returns an error if a job cannot be accepted.
func (sv *Server) ValidateJob(j Job) error {
	rq, err := sv.newJobRequest(j)
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

// RunJob runs a job and returns its complete response.
func (sv *Server) RunJob(ctx context.Context, j Job) (claim.Response, error) {
	rq, err := sv.newJobRequest(j)
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
	ctx, cancel := rq.deadline.ContextWithPauseGrace(ctx)
	defer cancel()
	sk := newSink(&discardWriter{header: http.Header{}})
	sk.recording = &claim.Response{BodyKept: true}
	err = sv.runInference(ctx, rq, sk)
	sv.recordObjective(rq, err)
	return *sk.recording, err
}

// newJobRequest returns the request of a job, with the configuration in force.
func (sv *Server) newJobRequest(j Job) (*request, error) {
	inf := sv.Bundles.Current()
	if inf == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	class, ok := inf.Class(j.Class)
	if !ok {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "no class %q", j.Class)
	}
	org, ok := inf.OrganisationByName(j.Organisation)
	if !ok {
		return nil, failure.New(failure.Forbidden, failure.NotRun, "no organisation %q", j.Organisation)
	}
	return &request{
		id: ident.New("req"), path: j.Path, org: org, class: class, inForce: inf, arrived: time.Now(),
		deadline: deadline.Deadline{At: j.Deadline}, atMostOnce: j.AtMostOnce, body: j.Body,
	}, nil
}

// Caller is what the headers of a request state about its caller and about the request's work.
type Caller struct {
	Organisation string
	// Class is the name of the request's class.
	Class string
	// MaxDuration is how long the work may take from the arrival of the request.
	MaxDuration time.Duration
	// AtMostOnce is set if the work must not run twice.
	AtMostOnce bool
}

// Identify authenticates a request and returns its caller.
func (sv *Server) Identify(r *http.Request) (Caller, error) {
	rq, err := sv.newRequest(r)
	if err != nil {
		return Caller{}, err
	}
	return Caller{
		Organisation: rq.org.Name, Class: rq.class.Name, MaxDuration: rq.deadline.At.Sub(rq.arrived), AtMostOnce: rq.atMostOnce,
	}, nil
}

// ReadBody reads a body within the memory budget that all requests share. free returns the memory and is never nil.
func (sv *Server) ReadBody(r *http.Request) (b []byte, free func(), err error) {
	return sv.readBody(r)
}

// WriteError responds with an error object.
func WriteError(w http.ResponseWriter, err error) { newSink(w).writeError(err) }

// WriteJSON responds with v as a JSON document.
func WriteJSON(w http.ResponseWriter, v any) { newSink(w).writeJSON(v) }
