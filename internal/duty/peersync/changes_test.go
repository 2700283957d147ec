package peersync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

func newTargetsDuty() *duty {
	du := newDuty()
	du.dr, du.lg = targets.New(time.Now), &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	return du
}

// connect lets a duty fetch from another, and counts the bytes that it receives.
func (du *duty) connect(from *duty, received *int) {
	count := func(b []byte, ok bool) ([]byte, error) {
		*received += len(b)
		if !ok {
			return nil, &gossip.NotFoundError{}
		}
		return b, nil
	}
	du.queryPeer = func(_ context.Context, _ gossip.Member, name string, query []byte) ([]byte, error) {
		return count(from.answerQuery(name, query))
	}
	du.fetchDocument = func(_ context.Context, _ gossip.Member, name string) ([]byte, error) {
		return count(from.serveDocument(name))
	}
}

// TestOneChangeOfTargetsCostsFewBytes guards against instances that fetch the whole list of targets after each change of one of them: the
// bytes then grow with the targets, the instances, and the changes, which grow with the targets too.
func TestOneChangeOfTargetsCostsFewBytes(t *testing.T) {
	for name, count := range map[string]int{"few targets": 20, "a thousand": 1000} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			follower, listener := newTargetsDuty(), newTargetsDuty()
			received := 0
			listener.connect(follower, &received)
			var list []targets.Target
			for i := range count {
				list = append(list, targets.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Slots: 10})
			}
			at := func(revision int64) position.Position { return position.Position{Revision: revision} }
			follower.dr.ApplyList(list, nil, at(1), time.Now())
			listener.fetchTargets(t.Context(), fetchRequest{at: at(1), asOf: time.Now()})
			g.Expect(listener.dr.Len()).To(Equal(count))
			received = 0
			follower.dr.ApplyChanges([]targets.EntryChange{{Name: "i-7", Deleted: true}}, at(2), time.Now())
			listener.fetchTargets(t.Context(), fetchRequest{at: at(2), asOf: time.Now()})
			g.Expect(listener.dr.Len()).To(Equal(count - 1))
			one, err := json.Marshal(list[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(received).To(BeNumerically("<", 2*len(one)), "about the size of one target")
		})
	}
}

// TestWholeListWithoutChanges fetches from a peer that does not know the changes since this instance's list, and from one of a build that
// does not send changes.
func TestWholeListWithoutChanges(t *testing.T) {
	at := func(revision int64) position.Position { return position.Position{Revision: revision} }
	for name, previousBuild := range map[string]bool{"changes not known": false, "previous build": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newTargetsDuty(), newTargetsDuty()
			received := 0
			to.connect(from, &received)
			if previousBuild {
				to.queryPeer = func(context.Context, gossip.Member, string, []byte) ([]byte, error) {
					return nil, &gossip.NotFoundError{}
				}
			}
			to.dr.ApplyList([]targets.Target{{ID: "old"}}, nil, at(1), time.Now())
			from.dr.ApplyList([]targets.Target{{ID: "new"}}, nil, at(5), time.Now())
			to.fetchTargets(t.Context(), fetchRequest{at: at(5), asOf: time.Now()})
			own, list := to.dr.Listed()
			g.Expect(own).To(Equal(at(5)))
			g.Expect(list).To(HaveLen(1))
			g.Expect(list[0].ID).To(Equal("new"))
		})
	}
}

// BenchmarkTargetsUpdate updates the list of 1,000 targets of an instance after a change of one, at both ends. The whole list took
// 14.0 ms and 10,927 bytes, the changes take 0.21 ms and 244 bytes.
func BenchmarkTargetsUpdate(b *testing.B) {
	const count = 1000
	for name, whole := range map[string]bool{"whole list": true, "changes": false} {
		b.Run(name, func(b *testing.B) {
			from, to := newTargetsDuty(), newTargetsDuty()
			received := 0
			to.connect(from, &received)
			if whole {
				to.queryPeer = func(context.Context, gossip.Member, string, []byte) ([]byte, error) {
					return nil, &gossip.NotFoundError{}
				}
			}
			var list []targets.Target
			for i := range count {
				list = append(list, targets.Target{ID: fmt.Sprintf("i-%010x@%d", i*7919, i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), AvailabilityZone: "z", Slots: 10})
			}
			revision := int64(1)
			at := func() position.Position { return position.Position{Revision: revision} }
			from.dr.ApplyList(list, nil, at(), time.Now())
			to.fetchTargets(b.Context(), fetchRequest{at: at(), asOf: time.Now()})
			received = 0
			for i := 0; b.Loop(); i++ {
				revision++
				tg := list[i%count]
				tg.Slots = 1 + i%7
				from.dr.ApplyChanges([]targets.EntryChange{{Name: tg.ID, Target: tg}}, at(), time.Now())
				to.fetchTargets(b.Context(), fetchRequest{at: at(), asOf: time.Now()})
			}
			b.ReportMetric(float64(received)/float64(b.N), "bytes/op")
		})
	}
}
