package jobs

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/serve"
)

// acceptLimit bounds the writing of a job to the store.
const acceptLimit = 20 * time.Second

// headerPath names the inference path that a job is for.
const (
	headerPath  = "Silvermount-Path"
	defaultPath = "/v1/chat/completions"
)

func asFailure(err error) *failure.Error {
	var fe *failure.Error
	if errors.As(err, &fe) {
		return fe
	}
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return failure.New(failure.NotFound, failure.NotRun, "no such job")
	}
	var unknown *objectstore.UnknownError
	if errors.As(err, &unknown) {
		return failure.New(failure.StoreOutcomeUnknown, failure.Unknown, "it cannot be told whether the store took the change").
			WithCause(err).WithRetryAfter(time.Second)
	}
	return failure.New(failure.StoreUnavailable, failure.NotRun, "the store cannot be reached").WithCause(err).WithRetryAfter(time.Second)
}

func (kp *keeper) handler() http.Handler {
	rt := chi.NewRouter()
	rt.Post("/", kp.each(kp.accept))
	rt.Get("/", kp.each(kp.list))
	rt.Get("/{id}", kp.each(kp.show))
	rt.Get("/{id}/answer", kp.each(kp.answer))
	rt.Delete("/{id}", kp.each(kp.cancel))
	return rt
}

// each identifies the caller and answers with the failure, if any.
func (kp *keeper) each(f func(context.Context, serve.Caller, http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := kp.server.Identify(r)
		if err == nil {
			ctx, cancel := context.WithTimeout(r.Context(), acceptLimit)
			defer cancel()
			err = f(ctx, who, w, r)
		}
		if err != nil {
			serve.Fail(w, asFailure(err))
		}
	}
}

// accept answers once the store has the job.
func (kp *keeper) accept(ctx context.Context, who serve.Caller, w http.ResponseWriter, r *http.Request) error {
	body, free, err := kp.server.ReadBody(r)
	defer free()
	if err != nil {
		return err
	}
	path := r.Header.Get(headerPath)
	if path == "" {
		path = defaultPath
	}
	now := time.Now()
	j := serve.Job{Organisation: who.Organisation, Class: who.Class, Path: path, Body: body, Deadline: now.Add(who.Limit)}
	if err := kp.server.CheckJob(j); err != nil {
		return err
	}
	v, err := kp.store.Add(ctx, job.Record{
		ID: ident.New("job"), Organisation: who.Organisation, Class: who.Class, Path: path, AtMostOnce: who.Never,
		Created: now, Deadline: now.Add(who.Limit), State: job.Queued,
	}, body)
	if err != nil {
		// The record may have been stored without an answer; then the job runs, and the list shows it.
		return failure.New(failure.StoreOutcomeUnknown, failure.Unknown, "it cannot be told whether the store has the job").
			WithCause(err).WithRetryAfter(time.Second)
	}
	serve.JSON(w, v.Record)
	return nil
}

// own reads a job of the caller's organisation.
func (kp *keeper) own(ctx context.Context, who serve.Caller, r *http.Request) (job.Versioned, error) {
	v, err := kp.store.Get(ctx, chi.URLParam(r, "id"))
	if err == nil && v.Organisation != who.Organisation {
		return v, failure.New(failure.NotFound, failure.NotRun, "no such job")
	}
	return v, err
}

type jobList struct {
	Data []job.Record `json:"data"`
}

func (kp *keeper) list(ctx context.Context, who serve.Caller, w http.ResponseWriter, _ *http.Request) error {
	all, err := kp.store.List(ctx)
	if err != nil {
		return err
	}
	list := jobList{Data: []job.Record{}}
	for _, v := range all {
		if v.Organisation == who.Organisation {
			list.Data = append(list.Data, v.Record)
		}
	}
	serve.JSON(w, list)
	return nil
}

func (kp *keeper) show(ctx context.Context, who serve.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := kp.own(ctx, who, r)
	if err != nil {
		return err
	}
	serve.JSON(w, v.Record)
	return nil
}

func (kp *keeper) answer(ctx context.Context, who serve.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := kp.own(ctx, who, r)
	if err != nil {
		return err
	}
	if v.State != job.Done {
		return failure.New(failure.Conflict, failure.NotRun, "the job is %s", strings.ToLower(string(v.State))).WithRetryAfter(time.Second)
	}
	b, err := kp.store.Answer(ctx, v.Record)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", v.Result.ContentType)
	w.WriteHeader(v.Result.Status)
	// The caller may be gone; the answer is kept.
	_, _ = w.Write(b)
	return nil
}

// cancel ends a job that is not final yet. A run that is on its way finds its record changed, and is dropped.
func (kp *keeper) cancel(ctx context.Context, who serve.Caller, w http.ResponseWriter, r *http.Request) error {
	v, err := kp.own(ctx, who, r)
	if err != nil {
		return err
	}
	if v.State.Final() {
		return failure.New(failure.Conflict, failure.NotRun, "the job is %s already", v.State)
	}
	nv, err := kp.store.Update(ctx, v, v.WithResult(job.Cancelled, job.Result{Ended: time.Now()}))
	if err != nil {
		var conflict *objectstore.ConflictError
		if errors.As(err, &conflict) {
			return failure.New(failure.Conflict, failure.NotRun, "the job changed just now").WithRetryAfter(time.Second)
		}
		return err
	}
	kp.mu.Lock()
	if run, ok := kp.running[v.ID]; ok {
		run.cancel()
	}
	kp.mu.Unlock()
	serve.JSON(w, nv.Record)
	return nil
}
