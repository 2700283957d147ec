package gateway

import (
	"net/http"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

// noteRateLimit takes what the head of an answer says of the rate limit of its target, whatever the answer is. An answer of another
// incarnation says nothing of the one that was meant; one whose limits cannot be read neither sets nor lifts one.
func (gw *Gateway) noteRateLimit(rq *request, tg targets.Target, resp *http.Response) {
	if gw.Protocol.Judge(resp) == Misdirected {
		return
	}
	li, err := gw.Protocol.RateLimit(resp)
	var me *ratelimit.MalformedError
	if errors.As(err, &me) && gw.Limits.FirstMalformed(tg.ID, me.Value) {
		gw.Log.WithError(err).WithField("target", tg.ID).Warn("rate limit cannot be read")
	}
	if err != nil && !li.Named {
		return
	}
	ch, changed := gw.Limits.Observe(tg.ID, li, rq.sentAt, rq.headAt)
	if !changed {
		return
	}
	gw.Log.WithFields(log.Fields{
		"request": rq.RequestID, "target": tg.ID, "service": tg.Service, "limit": ch.Limit.String(), "before": ch.Before.String(),
		"source": "answer", "age": since(ch.At, gw.Now()).String(),
	}).Info("rate limit of target " + ch.What())
	gw.LimitsChanged()
}
