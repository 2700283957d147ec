package members

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

// TestListOfTargetsDoesNotWaitForConfigurations: that a target is gone, which is read from the list alone, must be known within
// seconds. Lists and configurations were fetched one at a time, and each configuration that a peer does not hand out took 0.6 s.
func TestListOfTargetsDoesNotWaitForConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list, err := json.Marshal(targetList{Version: 9, Targets: []targets.Target{{ID: "new"}}})
		g.Expect(err).NotTo(HaveOccurred())
		du := newDuty()
		du.rts, du.dr = &routes.Holder{}, targets.New(time.Now)
		du.lg = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		du.document = func(ctx context.Context, _ gossip.Member, name string) ([]byte, error) {
			if name == targetsDocument {
				return pack(list)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		for version := range int64(3) {
			du.want(newer{document: configurationDocument, version: version + 1})
		}
		du.want(newer{document: targetsDocument, at: position.Position{Revision: 9}, evidence: time.Now()})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { du.fetchAll(ctx) })
		time.Sleep(fetchTimeout / 2)
		g.Expect(du.dr.TakesWork("new")).To(BeTrue())
		cancel()
		wg.Wait()
	})
}

// TestRestoredStoreAsAPeerTells.
//
// The store came back from an older copy, and a peer told of a list at a lower revision than this instance's. It was taken for older,
// and a target that had left since was sent requests.
func TestRestoredStoreAsAPeerTells(t *testing.T) {
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
	du.document = func(context.Context, gossip.Member, string) ([]byte, error) { return pack(list) }
	du.fetchTargets(t.Context(), newer{document: targetsDocument, at: at, evidence: time.Now()})
	mine, _ := dr.ListPosition()
	g.Expect(mine).To(Equal(at))
	g.Expect(dr.TakesWork("stays")).To(BeTrue())
	g.Expect(dr.TakesWork("left")).To(BeFalse())
	g.Expect(dr.TakesWork("goes")).To(BeFalse(), "it was gone before the return")
	du.document = func(context.Context, gossip.Member, string) ([]byte, error) {
		t.Error("a list of the era before is older, whatever its revision")
		return nil, context.Canceled
	}
	du.fetchTargets(t.Context(), newer{document: targetsDocument, at: position.Position{Revision: 900}, evidence: time.Now()})
}
