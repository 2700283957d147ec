package gossip

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

const (
	exchangeRPC = "/gossip.Mesh/Exchange"
	fetchRPC    = "/gossip.Mesh/Fetch"
)

// serviceDescription is the drpc description of the mesh service.
type serviceDescription struct{}

// NumMethods implements drpc.Description.
func (serviceDescription) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
			return nil, srv.(*Mesh).accept(in1.(drpc.Stream))
		}
		return exchangeRPC, encoding{}, receive, (*Mesh).accept, true
	case 1:
		receive := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(*Mesh).handleRequest(in1.(*request)), nil
		}
		method := func(*Mesh, context.Context, *request) (*response, error) { return nil, nil }
		return fetchRPC, encoding{}, receive, method, true
	}
	return "", nil, nil, nil, false
}

func (ms *Mesh) handleRequest(rq *request) *response {
	if len(rq.Body) > 0 {
		body, found := ms.opts.HandleQuery(rq.Name, rq.Body)
		return &response{Found: found, Body: body}
	}
	body, found := ms.opts.HandleFetch(rq.Name)
	return &response{Found: found, Body: body}
}

// Fetch requests a document from a member. It uses a connection of its own, so that a large document delays no heartbeat, or
// an existing link to the member if its address cannot be dialled.
func (ms *Mesh) Fetch(ctx context.Context, m Member, name string) ([]byte, error) {
	rs, err := ms.fetch(ctx, m, name)
	if err != nil {
		return nil, err
	}
	if !rs.Found {
		return nil, &NotFoundError{Instance: m.Name, Document: name}
	}
	return rs.Body, nil
}

func (ms *Mesh) fetch(ctx context.Context, m Member, name string) (response, error) {
	var rs response
	conn, _, err := dial(ctx, m.Address)
	if err != nil {
		ms.mu.Lock()
		lk := ms.linkTo(m)
		ms.mu.Unlock()
		if lk == nil {
			return rs, err
		}
		return lk.call(ctx, request{Name: name})
	}
	defer conn.Close()
	err = conn.Invoke(ctx, fetchRPC, encoding{}, &request{Name: name}, &rs)
	return rs, errors.Wrap(err, "fetch document")
}

// linkTo returns a link to the member's incarnation; nil if there is none. The lock is held.
func (ms *Mesh) linkTo(m Member) *link {
	for lk := range ms.links {
		if lk.peer.Name == m.Name && lk.peer.Incarnation == m.Incarnation {
			return lk
		}
	}
	return nil
}
