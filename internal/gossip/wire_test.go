package gossip

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawDuration(rt *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, maxAge.Microseconds()).Draw(rt, label)) * time.Microsecond
}

func drawBytes(rt *rapid.T, label string) []byte {
	b := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(rt, label)
	if len(b) == 0 {
		return nil
	}
	return b
}

func drawPayload(rt *rapid.T, label string) payload {
	return payload{
		Version: rapid.Uint64().Draw(rt, label+" version"), Body: drawBytes(rt, label+" body"), Age: drawDuration(rt, label+" age"),
	}
}

func drawEntry(rt *rapid.T) entry {
	e := entry{
		ID: rapid.Uint64().Draw(rt, "id"), Heartbeat: rapid.Uint64().Draw(rt, "heartbeat"), HeartbeatAge: drawDuration(rt, "heartbeat age"),
		State: drawPayload(rt, "state"), Notes: drawPayload(rt, "notes"),
	}
	if rapid.Bool().Draw(rt, "with info") {
		e.Info = &memberInfo{
			Member: Member{
				Name: rapid.String().Draw(rt, "name"), Incarnation: rapid.String().Draw(rt, "incarnation"),
				Address: rapid.String().Draw(rt, "address"), AvailabilityZone: rapid.String().Draw(rt, "zone"),
				Stopping: rapid.Bool().Draw(rt, "stopping"), StoreUnreachable: rapid.Bool().Draw(rt, "store unreachable"), BandwidthMbps: rapid.Uint64().Draw(rt, "bandwidth"),
			},
			Generation: rapid.Uint64().Draw(rt, "generation"),
		}
	}
	return e
}

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		var in, out frame
		for range rapid.IntRange(0, 4).Draw(rt, "entries") {
			in.Entries = append(in.Entries, drawEntry(rt))
		}
		for range rapid.IntRange(0, 2).Draw(rt, "requests") {
			in.Requests = append(in.Requests, streamRequest{ID: rapid.Uint64().Draw(rt, "id"), request: request{
				Name: rapid.String().Draw(rt, "name"), Body: drawBytes(rt, "query"),
			}})
			in.Responses = append(in.Responses, streamResponse{
				ID: rapid.Uint64().Draw(rt, "id"), response: response{Found: rapid.Bool().Draw(rt, "found"), Body: drawBytes(rt, "body")},
			})
		}
		if rapid.Bool().Draw(rt, "with subscription") {
			in.Subscription = &subscription{
				Scope: scope(rapid.Uint64().Draw(rt, "scope")), Shard: rapid.Uint64().Draw(rt, "shard"), ShardCount: rapid.Uint64().Draw(rt, "shard count"),
			}
		}
		in.SenderUptime = time.Duration(rapid.Uint64Range(0, maxUptimeMillis).Draw(rt, "sender uptime")) * time.Millisecond
		b, err := encoding{}.Marshal(&in)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(encoding{}.Unmarshal(b, &out)).To(Succeed())
		g.Expect(out).To(Equal(in))
	})
}

func TestArbitraryBytesDecodeOrFailAsMalformed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var malformed *MalformedError
		var fr frame
		err := encoding{}.Unmarshal(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"), &fr)
		if err != nil {
			NewWithT(rt).Expect(errors.As(err, &malformed)).To(BeTrue())
		}
	})
}
