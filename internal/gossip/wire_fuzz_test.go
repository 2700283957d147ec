package gossip

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// FuzzUnmarshalFrame checks that no frame of a peer makes this instance fail other than with a MalformedError, and that what is decoded
// survives another encoding.
func FuzzUnmarshalFrame(f *testing.F) {
	fr := &frame{
		Subscription: &subscription{Scope: 1, Shard: 2, ShardCount: 3}, SenderUptime: time.Second,
		Entries:  []entry{{ID: 1, Info: &memberInfo{Member: Member{Name: "a", Address: "10.0.0.1:1"}}, Heartbeat: 2, State: payload{Version: 1, Body: []byte("s")}}},
		Requests: []streamRequest{{ID: 1, request: request{Name: "d", Body: []byte("q")}}},
	}
	for _, seed := range [][]byte{nil, fr.append(nil), fr.append(nil)[:10], {0xff}, []byte("\x12\xff\xff\xff\xff\x0f"), make([]byte, 100)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		g := NewWithT(t)
		var got, again frame
		if err := (encoding{}).Unmarshal(b, &got); err != nil {
			var me *MalformedError
			g.Expect(errors.As(err, &me)).To(BeTrue(), "%v", err)
			return
		}
		g.Expect((encoding{}).Unmarshal(got.append(nil), &again)).To(Succeed())
		g.Expect(again).To(Equal(got))
	})
}

// TestFrameWithTooManyEntriesIsRefused guards against a frame of few bytes that takes much memory: an empty entry has two bytes on the wire.
func TestFrameWithTooManyEntriesIsRefused(t *testing.T) {
	g := NewWithT(t)
	var b []byte
	for range maxFrameItems {
		b = appendMessage(b, frameEntry, nil)
	}
	var got frame
	g.Expect((encoding{}).Unmarshal(b, &got)).To(Succeed())
	var me *MalformedError
	g.Expect(errors.As((encoding{}).Unmarshal(appendMessage(b, frameEntry, nil), &got), &me)).To(BeTrue())
}
