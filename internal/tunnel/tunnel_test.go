package tunnel_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/tunnel"
)

// TestReadTakesNothingBeyondMessage checks that the bytes after a message stay for the connection's next user.
func TestReadTakesNothingBeyondMessage(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	rq := tunnel.Request{Address: "10.0.0.1:80", RequestID: "r", Instance: "i"}
	g.Expect(tunnel.Write(&b, rq)).To(Succeed())
	b.WriteString("rest")
	got, err := tunnel.Read[tunnel.Request](&b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(rq))
	g.Expect(b.String()).To(Equal("rest"))
}

func TestMessagesAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(tunnel.Write(&bytes.Buffer{}, tunnel.Request{Address: strings.Repeat("a", 8<<10)})).NotTo(Succeed())
	_, err := tunnel.Read[tunnel.Request](strings.NewReader("\xff\xff" + strings.Repeat("a", 64<<10)))
	g.Expect(err).To(HaveOccurred())
}

func TestBlamesTarget(t *testing.T) {
	tests := map[string]struct {
		reply tunnel.Reply
		want  bool
	}{
		"refused":                           {tunnel.Reply{Outcome: tunnel.Refused, SignAgeMS: -1}, true},
		"no answer, others reached lately":  {tunnel.Reply{Outcome: tunnel.Failed, SignAgeMS: 300}, true},
		"no answer, others reached earlier": {tunnel.Reply{Outcome: tunnel.Failed, SignAgeMS: 5000}, false},
		"no answer, none ever reached":      {tunnel.Reply{Outcome: tunnel.Failed, SignAgeMS: -1}, false},
		"peer cut off":                      {tunnel.Reply{Outcome: tunnel.CutOff, SignAgeMS: 300}, false},
		"connected":                         {tunnel.Reply{Outcome: tunnel.Connected, SignAgeMS: 0}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.reply.BlamesTarget()).To(Equal(tc.want))
		})
	}
}

// FuzzRead checks that a message of a peer is refused or survives another encoding.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"", "\x00", "\x00\x02{}", "\xff\xff", "\x00\x10{\"address\":\"a:1\"}", "\x00\x02[]", "\x10\x01"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		g := NewWithT(t)
		rq, err := tunnel.Read[tunnel.Request](bytes.NewReader(b))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if tunnel.Write(&out, rq) != nil {
			return // escapes made it larger than the maximum
		}
		again, err := tunnel.Read[tunnel.Request](&out)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(rq))
	})
}
