package targetdial

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/targetloss"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/upstream"
)

// Examine connects to a target to find out whether it is lost: directly and, if that fails, through peers. It records what this shows of
// the path of this instance. It is not bounded by the budget of searches, since it is called for targets that are suspected only.
func (dl *Dialer) Examine(ctx context.Context, address string) targetloss.Finding {
	if dl.Paths.Isolated() {
		return targetloss.FoundNothing
	}
	nc, directErr := dl.DialDirect(ctx, address)
	if directErr == nil {
		closeConn(nc)
		return targetloss.FoundConnected
	}
	cn, peerErr := dl.ThroughPeer(ctx, address)
	dr, pr := directResult{err: directErr}, peerResult{conn: cn, err: peerErr}
	nc, err := dl.settle(ctx, address, dr, pr)
	if err == nil {
		closeConn(nc)
		return targetloss.FoundByPeer
	}
	return FindingOf(err)
}

// FindingOf returns what a failed connection shows of its target. A failure for which no peer was asked shows nothing.
func FindingOf(err error) targetloss.Finding {
	var de *upstream.DialError
	if !errors.As(err, &de) || de.ProcessPaused || de.Isolated || de.Doubtful {
		return targetloss.FoundNothing
	}
	var fe *tunnelclient.FailureError
	refused := errors.Is(de.Cause, syscall.ECONNREFUSED)
	switch {
	case !errors.As(de.Peers, &fe) && !errors.As(de.Cause, &fe):
		return targetloss.FoundNothing
	case fe.Blamed && fe.Refused && refused:
		return targetloss.FoundRefused
	case fe.Blamed:
		return targetloss.FoundUnreachable
	case fe.Asked > 0:
		return targetloss.FoundNothing
	case refused:
		return targetloss.FoundRefusedAlone
	default:
		return targetloss.FoundAlone
	}
}
