package jobs

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/objectstore"
)

// requestTimeout bounds the handling of one request, including the write of a new job to the store.
const requestTimeout = 20 * time.Second

// pathHeader carries the inference path that a job is for; defaultPath applies without it.
const (
	pathHeader  = "Silvermount-Path"
	defaultPath = "/v1/chat/completions"
)

// toFailure returns the answer to the caller for an error: a failure as it is, others by the kind of the store's error.
func toFailure(err error) *failure.Error {
	var fe *failure.Error
	if errors.As(err, &fe) {
		return fe
	}
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return failure.New(failure.NotFound, failure.NotRun, "no such job")
	}
	var unknown *objectstore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return failure.New(failure.StoreOutcomeUnknown, failure.Unknown, "it cannot be told whether the store took the change").
			WithCause(err).WithRetryAfter(time.Second)
	}
	return failure.New(failure.StoreUnavailable, failure.NotRun, "the store cannot be reached").WithCause(err).WithRetryAfter(time.Second)
}

func (mg *manager) handler() http.Handler {
	rt := chi.NewRouter()
	rt.Post("/", mg.withCaller(mg.accept))
	rt.Get("/", mg.withCaller(mg.list))
	rt.Get("/{id}", mg.withCaller(mg.get))
	rt.Get("/{id}/answer", mg.withCaller(mg.answer))
	rt.Delete("/{id}", mg.withCaller(mg.cancel))
	return rt
}

// withCaller identifies the caller, bounds the time of the handler, and answers with the failure if there is one.
func (mg *manager) withCaller(f func(context.Context, callerapi.Caller, http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := mg.server.Identify(r)
		if err == nil {
			ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
			defer cancel()
			err = f(ctx, who, w, r)
		}
		if err != nil {
			callerapi.WriteError(w, toFailure(err))
		}
	}
}

// accept stores a new job, and answers only after the store has acknowledged it.
func (mg *manager) accept(ctx context.Context, who callerapi.Caller, w http.ResponseWriter, r *http.Request) error {
	body, free, err := mg.server.ReadBody(r)
	defer free()
	if err != nil {
		return err
	}
	path := r.Header.Get(pathHeader)
	if path == "" {
		path = defaultPath
	}
	now := time.Now()
	j := callerapi.Job{Organisation: who.Organisation, Class: who.Class, Path: path, Body: body, Deadline: now.Add(who.MaxDuration)}
	if err := mg.server.ValidateJob(j); err != nil {
		return err
	}
	v, err := mg.store.Add(ctx, job.Record{
		ID: ident.New("job"), Organisation: who.Organisation, Class: who.Class, Path: path, AtMostOnce: who.AtMostOnce,
		Created: now, Deadline: now.Add(who.MaxDuration), State: job.Queued,
	}, body)
	if err != nil {
		// The store may have the record although its answer was lost. Then the job runs, and the list shows it.
		return failure.New(failure.StoreOutcomeUnknown, failure.Unknown, "it cannot be told whether the store has the job").
			WithCause(err).WithRetryAfter(time.Second)
	}
	callerapi.WriteJSON(w, v.Record)
	return nil
}

// callerJob reads the job that the request names, and hides jobs of other organisations.
func (mg *manager) callerJob(ctx context.Context, who callerapi.Caller, r *http.Request) (job.Versioned, error) {
	v, err := mg.store.Get(ctx, chi.URLParam(r, "id"))
	if err == nil && v.Organisation != who.Organisation {
		return v, failure.New(failure.NotFound, failure.NotRun, "no such job")
	}
	return v, err
}

type jobList struct {
	Data []job.Record `json:"data"`
}

func (mg *manager) list(ctx context.Context, who callerapi.Caller, w http.ResponseWriter, _ *http.Request) error {
	all, err := mg.store.List(ctx)
	if err != nil {
		return err
	}
	list := jobList{Data: []job.Record{}}
	for _, v := range all {
		if v.Organisation == who.Organisation {
			list.Data = append(list.Data, v.Record)
		}
	}
	callerapi.WriteJSON(w, list)
	return nil
}

func (mg *manager) get(ctx context.Context, who callerapi.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := mg.callerJob(ctx, who, r)
	if err != nil {
		return err
	}
	callerapi.WriteJSON(w, v.Record)
	return nil
}

func (mg *manager) answer(ctx context.Context, who callerapi.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := mg.callerJob(ctx, who, r)
	if err != nil {
		return err
	}
	if v.State != job.Done {
		return failure.New(failure.Conflict, failure.NotRun, "the job is %s", strings.ToLower(string(v.State))).WithRetryAfter(time.Second)
	}
	b, err := mg.store.Answer(ctx, v.Record)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", v.Result.ContentType)
	w.WriteHeader(v.Result.Status)
	// A failed write is ignored: the caller may be gone, and can get the stored answer later.
	_, _ = w.Write(b)
	return nil
}

// cancel ends a job that is not in a final state. A run of it on another instance finds its record changed and is discarded.
func (mg *manager) cancel(ctx context.Context, who callerapi.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := mg.callerJob(ctx, who, r)
	if err != nil {
		return err
	}
	if v.State.Final() {
		return failure.New(failure.Conflict, failure.NotRun, "the job is %s already", v.State)
	}
	nv, err := mg.store.Update(ctx, v, v.WithResult(job.Cancelled, job.Result{Ended: time.Now()}))
	if err != nil {
		var conflict *objectstore.ConflictError
		if errors.As(err, &conflict) {
			return failure.New(failure.Conflict, failure.NotRun, "the job changed just now").WithRetryAfter(time.Second)
		}
		return err
	}
	mg.mu.Lock()
	if run, ok := mg.running[v.ID]; ok {
		run.cancel()
	}
	mg.mu.Unlock()
	callerapi.WriteJSON(w, nv.Record)
	return nil
}
