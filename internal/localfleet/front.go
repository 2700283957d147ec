package localfleet

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Front stands between one instance and the platform's stand-in, so that the instance can be cut off from it.
type StoreProxy struct {
	*Server
	blocked atomic.Bool
}

// NewFront returns a front before a base URL.
func NewStoreProxy(base string) (*StoreProxy, error) {
	fr := &StoreProxy{}
	sr, err := Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fr.forward(w, r, base) }))
	fr.Server = sr
	return fr, err
}

// SetCut cuts the instance off, or lets it through again.
func (fr *StoreProxy) SetBlocked(cut bool) { fr.blocked.Store(cut) }

func (fr *StoreProxy) forward(w http.ResponseWriter, r *http.Request, base string) {
	if fr.blocked.Load() {
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || fr.blocked.Load() {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // the instance may have gone
}
