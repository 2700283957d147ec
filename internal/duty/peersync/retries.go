package peersync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// retryQuery is the name of the gossip query that withdraws a retry from the shared budget of an availability zone.
	retryQuery = "retry"
	// retryBudgetID is hashed to select the instance that holds the shared budget of an availability zone.
	retryBudgetID = "retry budget"
	// retryQueryTimeout bounds the wait for the holder. It allows for many round trips within an availability zone.
	retryQueryTimeout = 100 * time.Millisecond
)

// retryRequest asks the holder of an availability zone's shared budget for one retry.
type retryRequest struct {
	Zone string `json:"zone"`
}

// retryReply is the response of the holder.
type retryReply struct {
	Granted bool `json:"granted"`
}

// sharedRetries is the retry budget that the instances of an availability zone share in a large fleet. One live instance of the zone,
// which all of them select by the same rule, holds it.
type sharedRetries struct {
	self gossip.Member
	// issuerOf returns the live instance that is responsible for a target or a budget.
	issuerOf func(tg targets.Target) gossip.Member
	query    func(ctx context.Context, m gossip.Member, name string, query []byte) ([]byte, error)
	// held is the budget, used while this instance is the holder.
	held                         *budget.Retries
	granted, refused, unanswered *metrics.Counter
	lg                           log.Interface
}

// withdraw withdraws a retry from the shared budget of this availability zone. It returns false when the budget is empty or its holder
// does not answer.
func (sr *sharedRetries) withdraw() bool {
	granted, err := sr.request(retryRequest{Zone: sr.self.AvailabilityZone})
	switch {
	case err != nil:
		sr.unanswered.Inc()
		sr.lg.WithError(err).Warn("cannot get retry from shared budget")
	case granted:
		sr.granted.Inc()
	default:
		sr.refused.Inc()
	}
	return granted
}

func (sr *sharedRetries) request(rq retryRequest) (bool, error) {
	holder := sr.holderOf(rq.Zone)
	if holder.Name == sr.self.Name {
		return sr.held.TryWithdraw(), nil
	}
	b, err := json.Marshal(rq)
	if err != nil {
		return false, errors.Wrap(err, "encode retry request")
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryQueryTimeout)
	defer cancel()
	b, err = sr.query(ctx, holder, retryQuery, b)
	if err != nil {
		return false, errors.Wrap(err, "request retry from "+holder.Name)
	}
	var rp retryReply
	if err := json.Unmarshal(b, &rp); err != nil {
		return false, errors.Wrap(err, "decode retry reply")
	}
	return rp.Granted, nil
}

// holderOf returns the instance that holds the shared budget of an availability zone, in the view of this instance.
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
	holds := rq.Zone == sr.self.AvailabilityZone && sr.holderOf(rq.Zone).Name == sr.self.Name
	b, err := json.Marshal(retryReply{Granted: holds && sr.held.TryWithdraw()})
	if err != nil {
		sr.lg.WithError(err).Error("cannot encode retry for peer")
	}
	return b, err == nil
}
