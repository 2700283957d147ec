package localfleet

import (
	"io"
	"net/http"
	"sync/atomic"
)

// StoreProxy is an HTTP proxy between one instance and the simulated platform store. It can be blocked, so that this instance
// alone cannot reach the store.
type StoreProxy struct {
	*Server
	blocked atomic.Bool
}

// NewStoreProxy starts a proxy on a loopback port that forwards requests to the store at the given base URL.
func NewStoreProxy(base string) (*StoreProxy, error) {
	sp := &StoreProxy{}
	sr, err := Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { sp.forward(w, r, base) }))
	sp.Server = sr
	return sp, err
}

// SetBlocked sets whether the proxy closes every connection without a response instead of forwarding the request.
func (sp *StoreProxy) SetBlocked(blocked bool) { sp.blocked.Store(blocked) }

func (sp *StoreProxy) forward(w http.ResponseWriter, r *http.Request, base string) {
	if sp.blocked.Load() {
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || sp.blocked.Load() {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // the instance may have closed the connection
}
