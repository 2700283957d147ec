package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ticket"
)

const (
	// settleLimit bounds the time to record the result of a request with a key.
	settleLimit = 10 * time.Second
	// settleWait is how much of it the caller's answer waits for, so that one who asks again at once finds the record.
	settleWait = 250 * time.Millisecond
)

// headerPassed marks a request that another instance passed on, so that it is not passed on again.
const headerPassed = "Silvermount-Passed"

type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// KeptSeconds is how long the ticket is honoured.
	KeptSeconds int `json:"kept_seconds"`
}

// issueTicket gives out a ticket that this incarnation honours once.
func (sv *Server) issueTicket(w http.ResponseWriter, r *http.Request) {
	sk := newSink(w)
	if _, err := sv.open(r); err != nil {
		sk.fail(err)
		return
	}
	tk, kept, err := sv.Tickets.Issue()
	if err != nil {
		sk.fail(err)
		return
	}
	sk.json(ticketAnswer{Ticket: tk, KeptSeconds: int(kept.Seconds())})
}

// withTicket runs a request once here, or passes it to the instance that issued its ticket.
func (sv *Server) withTicket(ctx context.Context, r *http.Request, tk string, rq *request, sk *sink, run runFunc) error {
	if ticket.Issuer(tk) != sv.Incarnation {
		return sv.passOn(ctx, r, tk, rq, sk)
	}
	ans, err := sv.Tickets.Redeem(tk)
	if err != nil {
		return err
	}
	if ans != nil {
		sk.replay(ans)
		return nil
	}
	rq.never = true
	sk.record = &claim.Response{BodyKept: true}
	err = run(ctx, rq, sk)
	switch {
	case err == nil:
		sv.Tickets.Complete(tk, *sk.record)
	case failure.FromError(err).Outcome == failure.NotRun:
		sv.Tickets.Release(tk)
	default:
		sv.Tickets.MarkLost(tk)
	}
	return err
}

// passOn sends a request to the issuer of its ticket. When the issuer is gone the outcome stays unknown.
func (sv *Server) passOn(ctx context.Context, r *http.Request, tk string, rq *request, sk *sink) error {
	gone := failure.New(failure.TicketUnknown, failure.Unknown, "the instance that issued the ticket is gone")
	peer, ok := sv.Fleet.PeerByIncarnation(ticket.Issuer(tk))
	if !ok || r.Header.Get(headerPassed) != "" {
		return gone
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+peer.CallersAddress+r.URL.RequestURI(), bytes.NewReader(rq.body))
	if err != nil {
		return gone.WithCause(err)
	}
	req.Header = r.Header.Clone()
	req.Header.Set(headerPassed, sv.Incarnation)
	req.Header.Set(HeaderTimeout, rq.left().String())
	resp, err := passClient.Do(req)
	if err != nil {
		return gone.WithCause(err)
	}
	defer resp.Body.Close()
	return copyAnswer(sk, resp)
}

// passClient keeps no connections: a broken one must not send a request twice.
var passClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

const copyBuffer = 32 << 10

// copyAnswer passes on the whole answer of another instance or a plain service.
func copyAnswer(sk *sink, resp *http.Response) error {
	for _, h := range []string{"Retry-After", HeaderRequestID} {
		if v := resp.Header.Get(h); v != "" {
			sk.Header().Set(h, v)
		}
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 || err == io.EOF {
			sk.start(resp.StatusCode, resp.Header.Get("Content-Type"))
		}
		if n > 0 {
			if werr := sk.pass(buf[:n], true); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return failure.New(failure.TargetLost, failure.Unknown, "the answer broke off").WithCause(err)
		}
	}
}
