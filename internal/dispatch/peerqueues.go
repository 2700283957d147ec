package dispatch

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/waitqueue"
)

const (
	// maxQueueReportBytes bounds what an instance tells of its queues: a quarter of a load report. Beyond it, the services whose head
	// has the least slack are told.
	maxQueueReportBytes = 4 << 10
	// maxServiceName is the longest name of a service that is told.
	maxServiceName = 256
	// maxToldEngineTime and maxToldSlack limit the values on the wire; a head is never waiting for longer.
	maxToldEngineTime = 24 * time.Hour
	maxToldSlack      = time.Hour
)

// toldSummary is a summary of a peer, and when the peer made it.
type toldSummary struct {
	waitqueue.Summary

	at time.Time
}

// peerQueues holds what peers told of their queues. It is safe for concurrent use. Its lock may be acquired while that of a queue is
// held.
type peerQueues struct {
	mu sync.RWMutex
	// byService holds summaries by service and peer. It holds no empty maps.
	byService map[string]map[string]toldSummary
}

func newPeerQueues() *peerQueues {
	return &peerQueues{byService: map[string]map[string]toldSummary{}}
}

// peersWaiting is what waits for a service at peers, by summaries that are fresh.
type peersWaiting struct {
	// peers and requests are the numbers of peers with a queue and of requests there.
	peers, requests int
	// age is that of the oldest summary.
	age time.Duration
}

// waiting returns what waits for a service.
func (pq *peerQueues) waiting(service string, now time.Time) peersWaiting {
	pq.mu.RLock()
	defer pq.mu.RUnlock()
	var pw peersWaiting
	for _, ts := range pq.byService[service] {
		if age := now.Sub(ts.at); ts.IsFresh(age) {
			pw.peers++
			pw.requests += ts.Length
			pw.age = max(pw.age, age)
		}
	}
	return pw
}

// goBefore reports whether a request with the given slack yields to the head of a peer.
func (pq *peerQueues) goBefore(service string, slack time.Duration, now time.Time) bool {
	pq.mu.RLock()
	defer pq.mu.RUnlock()
	for _, ts := range pq.byService[service] {
		if ts.GoesBefore(slack, now.Sub(ts.at)) {
			return true
		}
	}
	return false
}

// replace replaces what a peer told.
func (pq *peerQueues) replace(peer string, summaries map[string]waitqueue.Summary, at time.Time) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	for service, byPeer := range pq.byService {
		delete(byPeer, peer)
		if len(byPeer) == 0 {
			delete(pq.byService, service)
		}
	}
	for service, su := range summaries {
		if pq.byService[service] == nil {
			pq.byService[service] = map[string]toldSummary{}
		}
		pq.byService[service][peer] = toldSummary{Summary: su, at: at}
	}
}

// EncodeQueues returns what this instance tells its peers of its queues; empty if nothing waits.
func (ds *Dispatcher) EncodeQueues(now time.Time) []byte {
	if ds.queues == nil {
		return nil
	}
	summaries := map[string]waitqueue.Summary{}
	for _, sq := range ds.queues.all() {
		sq.mu.Lock()
		if su := sq.queue.Summary(now); su.Length > 0 {
			summaries[sq.service] = su
		}
		sq.mu.Unlock()
	}
	return encodeSummaries(summaries)
}

func encodeSummaries(summaries map[string]waitqueue.Summary) []byte {
	services := slices.SortedFunc(maps.Keys(summaries), func(a, b string) int {
		return cmp.Or(cmp.Compare(summaries[a].HeadSlack, summaries[b].HeadSlack), cmp.Compare(a, b))
	})
	var b []byte
	for _, service := range services {
		su := summaries[service]
		item := peercodec.AppendString(nil, service)
		item = binary.AppendUvarint(item, uint64(su.Length))
		item = peercodec.AppendDuration(item, su.EngineTime, maxToldEngineTime)
		// A head without slack yields to all others, however late it is; 0 says so.
		slack := uint64(0)
		if su.HeadSlack >= 0 {
			slack = uint64(min(su.HeadSlack, maxToldSlack).Milliseconds()) + 1
		}
		item = binary.AppendUvarint(item, slack)
		if len(service) <= maxServiceName && len(b)+len(item) <= maxQueueReportBytes {
			b = append(b, item...)
		}
	}
	return b
}

func decodeSummaries(body []byte) (map[string]waitqueue.Summary, error) {
	summaries := map[string]waitqueue.Summary{}
	if len(body) > maxQueueReportBytes {
		return nil, &peercodec.MalformedError{Reason: "report of queues too large"}
	}
	rd := peercodec.NewReader(body)
	for rd.Remaining() > 0 && !rd.Failed() {
		service := rd.ReadString(maxServiceName)
		su := waitqueue.Summary{Length: int(rd.ReadUvarint(maxWaiting)), EngineTime: rd.ReadDuration(maxToldEngineTime)}
		slack := rd.ReadUvarint(uint64(maxToldSlack.Milliseconds()) + 1)
		su.HeadSlack = time.Duration(int64(slack)-1) * time.Millisecond
		summaries[service] = su
	}
	if err := rd.Finish(); err != nil {
		return nil, err
	}
	return summaries, nil
}

// ReceiveQueues applies what a peer told of its queues at a time. A malformed report is treated as if the peer told nothing.
func (ds *Dispatcher) ReceiveQueues(peer string, body []byte, at time.Time) {
	if ds.queues == nil {
		return
	}
	summaries, err := decodeSummaries(body)
	if err != nil {
		summaries = nil
	}
	ds.queues.peers.replace(peer, summaries, at)
}

// ForgetQueues removes what a lost peer told of its queues.
func (ds *Dispatcher) ForgetQueues(peer string) { ds.ReceiveQueues(peer, nil, time.Time{}) }

// QueueLength returns the number of requests that wait in the queues of this instance.
func (ds *Dispatcher) QueueLength() int {
	if ds.queues == nil {
		return 0
	}
	return ds.queues.length()
}
