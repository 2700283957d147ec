package facts

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// slowStore answers the first list as of one revision, while something else happens, and then has nothing new.
func slowStore(revision int64, items []objectstore.Object, meanwhile func()) follow.Store {
	return follow.Store{
		List: func(context.Context, string) (objectstore.Listing, error) {
			meanwhile()
			return objectstore.Listing{Version: revision, Items: items}, nil
		},
		Watch: func(ctx context.Context, _ string, since position.Position, wait time.Duration) (objectstore.Listing, error) {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			return objectstore.Listing{Version: since.Revision}, ctx.Err()
		},
	}
}

// An instance asked the store for its targets, and before the answer came a peer told of a list that was newer. The older answer
// replaced it, while the position at which the list had changed stayed the newer one, so that every peer's word confirmed what it held.
// It then refused its callers for want of targets, or did not know of a change, until the next change came: with 24 instances, 24 targets
// listed and nothing changing any more, one to three instances had no target to the end in five of eight plays, the longest for 28 s.
func TestOlderListReplacesNoNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dr := targets.New(time.Now)
		rd := &reader{
			ad: adapter.Adapter{TargetKind: kindTargets, Target: func(ob objectstore.Object) (targets.Target, error) {
				return targets.Target{ID: ob.Name}, nil
			}},
			dr: dr, lg: &log.Logger{Handler: discard.New()}, changed: &forwarding.Notifier{}, followers: &forwarding.StoreCoordinator{},
			leavingBound: 3 * time.Second, configurationBound: 3 * time.Second,
		}
		rd.reach = newReach(rd.patience(), func(bool) {})
		newer := position.Position{Revision: 29}
		st := slowStore(5, []objectstore.Object{{Name: "old", Value: json.RawMessage("1")}}, func() {
			dr.TakeTold([]targets.Target{{ID: "a"}, {ID: "b"}}, targets.Lapsed{}, newer, time.Now())
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			rd.targets(st, rd.lg).Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		at, list := dr.Listed()
		g.Expect(at).To(Equal(newer))
		g.Expect(list).To(Equal([]targets.Target{{ID: "a"}, {ID: "b"}}), "the list is that of its position")
		cancel()
		<-done
	})
}
