package peersync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// retryQuery is the name of the gossip query that withdraws a retry from the shared accounts of an availability zone.
	retryQuery = "retry"
	// retryBudgetID is hashed to select the instance that holds the shared accounts of an availability zone.
	retryBudgetID = "retry budget"
	// retryQueryTimeout bounds the wait for the holder. It allows for many round trips within an availability zone.
	retryQueryTimeout = 100 * time.Millisecond
	// pendingInterval is the time between two requests while the holder reserves retries, and maxPendingTime bounds all of them.
	pendingInterval = 10 * time.Millisecond
	maxPendingTime  = 300 * time.Millisecond
)

// retryRequest asks the holder of an availability zone's shared accounts for one retry of a service.
type retryRequest struct {
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Credit is what requests at the instance have added to the account.
	Credit float64 `json:"credit,omitempty"`
}

// retryReply is the response of the holder.
type retryReply struct {
	Granted bool `json:"granted"`
	// Pending is set if the holder reserves more retries, so that it is worth asking again.
	Pending bool `json:"pending,omitempty"`
}

// sharedRetries holds the retry accounts that the instances of an availability zone share in a large fleet. One live instance of the zone,
// which all of them select by the same rule, holds them. While views differ there may be several holders: each begins with empty accounts
// and reserves from the same ledger.
type sharedRetries struct {
	self gossip.Member
	// issuerOf returns the live instance that is responsible for a target or an account.
	issuerOf func(tg targets.Target) gossip.Member
	query    func(ctx context.Context, m gossip.Member, name string, query []byte) ([]byte, error)
	// held are the accounts, used while this instance is the holder.
	held                         *retrybudget.Budget
	granted, refused, unanswered *metrics.Counter
	lg                           log.Interface
}

// withdraw withdraws a retry of a service from the shared account of this availability zone. It reports false when nothing is left, and
// fails if the holder does not answer. It is a retrybudget.BorrowFunc.
func (sr *sharedRetries) withdraw(service string, credit float64) (bool, error) {
	granted, err := sr.requestUntilDecided(retryRequest{Zone: sr.self.AvailabilityZone, Service: service, Credit: credit})
	switch {
	case err != nil:
		sr.unanswered.Inc()
		sr.lg.WithError(err).Warn("cannot get retry from shared budget")
	case granted:
		sr.granted.Inc()
	default:
		sr.refused.Inc()
	}
	return granted, err
}

// requestUntilDecided asks the holder again while it reserves more retries.
func (sr *sharedRetries) requestUntilDecided(rq retryRequest) (bool, error) {
	for deadline := time.Now().Add(maxPendingTime); ; time.Sleep(pendingInterval) {
		rp, err := sr.request(rq)
		if err != nil || rp.Granted || !rp.Pending || time.Now().After(deadline) {
			return rp.Granted, err
		}
		rq.Credit = 0
	}
}

func (sr *sharedRetries) request(rq retryRequest) (retryReply, error) {
	holder := sr.holderOf(rq.Zone)
	if holder.Name == sr.self.Name {
		return sr.decide(rq), nil
	}
	b, err := json.Marshal(rq)
	if err != nil {
		return retryReply{}, errors.Wrap(err, "encode retry request")
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryQueryTimeout)
	defer cancel()
	b, err = sr.query(ctx, holder, retryQuery, b)
	if err != nil {
		return retryReply{}, errors.Wrap(err, "request retry from "+holder.Name)
	}
	var rp retryReply
	if err := json.Unmarshal(b, &rp); err != nil {
		return retryReply{}, errors.Wrap(err, "decode retry reply")
	}
	return rp, nil
}

// decide withdraws a retry from the accounts held here. It does not wait for the store.
func (sr *sharedRetries) decide(rq retryRequest) retryReply {
	sr.held.Credit(rq.Service, rq.Credit)
	granted, pending := sr.held.TryWithdraw(rq.Service)
	return retryReply{Granted: granted, Pending: pending}
}

// holderOf returns the instance that holds the shared accounts of an availability zone, in the view of this instance.
func (sr *sharedRetries) holderOf(zone string) gossip.Member {
	return sr.issuerOf(targets.Target{ID: retryBudgetID, AvailabilityZone: zone})
}

// answerPeer responds to the request of a peer. It grants retries only if this instance is the holder in its own view. It reports
// false if the request cannot be decoded.
func (sr *sharedRetries) answerPeer(b []byte) ([]byte, bool) {
	var rq retryRequest
	if err := json.Unmarshal(b, &rq); err != nil {
		sr.lg.WithError(err).Error("cannot decode retry request of peer")
		return nil, false
	}
	var rp retryReply
	// An instance of an earlier build names no service.
	if rq.Service != "" && rq.Zone == sr.self.AvailabilityZone && sr.holderOf(rq.Zone).Name == sr.self.Name {
		rp = sr.decide(rq)
	}
	b, err := json.Marshal(rp)
	if err != nil {
		sr.lg.WithError(err).Error("cannot encode retry for peer")
	}
	return b, err == nil
}
