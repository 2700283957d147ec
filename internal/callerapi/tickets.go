package callerapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/responsecheck"
	"github.com/silvermount/silvermount/internal/ticket"
)

const (
	// recordTimeout bounds the writing of the result of a request with a key.
	recordTimeout = 10 * time.Second
	// recordWait is how long the end of the caller's response waits for that write, so that a caller who repeats the request
	// immediately finds the result.
	recordWait = 250 * time.Millisecond
)

// headerForwarded marks a request that another instance has forwarded, so that it is not forwarded again.
const headerForwarded = "Silvermount-Passed"

type ticketResponse struct {
	Ticket string `json:"ticket"`
	// KeptSeconds is how long the ticket is valid.
	KeptSeconds int `json:"kept_seconds"`
}

// handleIssueTicket issues a ticket, under which this incarnation runs a request at most once.
func (sv *Server) handleIssueTicket(w http.ResponseWriter, r *http.Request) {
	sk := newSink(w)
	if _, err := sv.newRequest(r); err != nil {
		sk.writeError(err)
		return
	}
	tk, validity, err := sv.Tickets.Issue()
	if err != nil {
		sk.writeError(err)
		return
	}
	sk.writeJSON(ticketResponse{Ticket: tk, KeptSeconds: int(validity.Seconds())})
}

// runWithTicket runs a request, replays its recorded response, or forwards it to the instance that issued its ticket.
func (sv *Server) runWithTicket(ctx context.Context, r *http.Request, tk string, rq *request, sk *sink, run runFunc) error {
	if ticket.Issuer(tk) != sv.Incarnation {
		return sv.forwardToIssuer(ctx, r, tk, rq, sk)
	}
	resp, err := sv.Tickets.Redeem(tk)
	if err != nil {
		return err
	}
	if resp != nil {
		sk.replay(resp)
		return nil
	}
	rq.atMostOnce = true
	sk.recording = &claim.Response{BodyKept: true}
	err = run(ctx, rq, sk)
	switch {
	case err == nil:
		sv.Tickets.Complete(tk, *sk.recording)
	case failure.FromError(err).Outcome == failure.NotRun:
		sv.Tickets.Release(tk)
	default:
		sv.Tickets.MarkLost(tk)
	}
	return err
}

// forwardToIssuer sends a request to the instance that issued its ticket. If that instance is gone, the outcome is unknown.
func (sv *Server) forwardToIssuer(ctx context.Context, r *http.Request, tk string, rq *request, sk *sink) error {
	issuerGone := failure.New(failure.TicketUnknown, failure.Unknown, "the instance that issued the ticket is gone")
	peer, ok := sv.Fleet.PeerByIncarnation(ticket.Issuer(tk))
	if !ok || r.Header.Get(headerForwarded) != "" {
		return issuerGone
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+peer.CallersAddress+r.URL.RequestURI(), bytes.NewReader(rq.body))
	if err != nil {
		return issuerGone.WithCause(err)
	}
	req.Header = r.Header.Clone()
	req.Header.Set(headerForwarded, sv.Incarnation)
	req.Header.Set(HeaderTimeout, rq.remaining().String())
	resp, err := forwardClient.Do(req)
	if err != nil {
		return issuerGone.WithCause(err)
	}
	defer resp.Body.Close()
	if err := responsecheck.Check(resp); err != nil {
		return failure.New(failure.TargetLost, failure.Unknown, "the other instance broke off before it answered").WithCause(err)
	}
	// Instances send all responses with a length or in chunks.
	return copyResponse(sk, resp, endWatch{})
}

// forwardClient opens a connection for each request: http.Transport could resend a request after the failure of an idle one.
var forwardClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: boundedread.MaxHeadBytes}}

const copyBufferBytes = 32 << 10

// copyResponse relays the response of another instance or of a plain service to the caller.
func copyResponse(sk *sink, resp *http.Response, ew endWatch) error {
	for _, h := range []string{"Retry-After", HeaderRequestID} {
		if v := resp.Header.Get(h); v != "" {
			sk.Header().Set(h, v)
		}
	}
	sk.relayed = true
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			sk.start(resp.StatusCode, resp.Header.Get("Content-Type"))
			if writeErr := sk.writeBody(buf[:n], true); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			if endErr := ew.check(resp); endErr != nil {
				return failure.New(failure.TargetLost, failure.Unknown, "the answer may have been cut").WithCause(endErr)
			}
			sk.start(resp.StatusCode, resp.Header.Get("Content-Type"))
			return nil
		}
		if err != nil {
			return failure.New(failure.TargetLost, failure.Unknown, "the answer broke off").WithCause(err)
		}
	}
}
