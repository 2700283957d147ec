package peersync

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestTargetFetchDoesNotWaitForConfigurations guards against late lists of targets. Only the list shows that a target is gone,
// which must be known within seconds. Lists and configurations were fetched one at a time, and each configuration that a peer did
// not serve took 0.6 s to time out.
func TestTargetFetchDoesNotWaitForConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list, err := json.Marshal(targetList{Version: 9, Targets: []targets.Target{{ID: "new"}}})
		g.Expect(err).NotTo(HaveOccurred())
		du := newDuty()
		du.rts, du.dr = &routes.Holder{}, targets.New(time.Now)
		du.lg = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		du.fetchDocument = func(ctx context.Context, _ gossip.Member, name string) ([]byte, error) {
			if name == targetsDocument {
				return compress(list)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		for version := range int64(3) {
			du.enqueueFetch(fetchRequest{document: configurationDocument, version: version + 1})
		}
		du.enqueueFetch(fetchRequest{document: targetsDocument, at: position.Position{Revision: 9}, asOf: time.Now()})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { du.fetchAll(ctx) })
		time.Sleep(fetchTimeout / 2)
		g.Expect(du.dr.TakesWork("new")).To(BeTrue())
		cancel()
		wg.Wait()
	})
}

// TestTakesTargetsFromPeerAfterStoreRestore guards against requests to targets that have left since a restore of the store. A peer
// reported the list from the restored store, whose revision was lower than that of this instance. The list was mistaken for an
// older one.
func TestTakesTargetsFromPeerAfterStoreRestore(t *testing.T) {
	g := NewWithT(t)
	dr := targets.New(time.Now)
	dr.ApplyList([]targets.Target{{ID: "stays"}, {ID: "left"}, {ID: "goes"}}, nil, position.Position{Revision: 479}, time.Now())
	dr.ApplyChanges([]targets.EntryChange{{Name: "goes", Deleted: true}}, position.Position{Revision: 480}, time.Now())
	at := position.Position{Era: 1, Revision: 300}
	list, err := json.Marshal(targetList{
		Version: at.Pack(), Targets: []targets.Target{{ID: "stays"}, {ID: "left", Leaving: true}, {ID: "goes"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	du := newDuty()
	du.rts, du.dr = &routes.Holder{}, dr
	du.lg = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	du.fetchDocument = func(context.Context, gossip.Member, string) ([]byte, error) { return compress(list) }
	du.fetchTargets(t.Context(), fetchRequest{document: targetsDocument, at: at, asOf: time.Now()})
	own, _ := dr.ListPosition()
	g.Expect(own).To(Equal(at))
	g.Expect(dr.TakesWork("stays")).To(BeTrue())
	g.Expect(dr.TakesWork("left")).To(BeFalse())
	g.Expect(dr.TakesWork("goes")).To(BeFalse(), "it was gone before the restore")
	du.fetchDocument = func(context.Context, gossip.Member, string) ([]byte, error) {
		t.Error("a list of an earlier era is older, regardless of its revision")
		return nil, context.Canceled
	}
	du.fetchTargets(t.Context(), fetchRequest{document: targetsDocument, at: position.Position{Revision: 900}, asOf: time.Now()})
}
