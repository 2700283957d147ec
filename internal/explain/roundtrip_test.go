package explain

import (
	"bytes"
	"context"
	"testing"

	"github.com/apex/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/eventlog"
)

// TestParseLineReadsEventlogOutput formats arbitrary messages and values with eventlog and parses the resulting lines.
func TestParseLineReadsEventlogOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		msg, value := rapid.String().Draw(t, "message"), rapid.String().Draw(t, "value")
		var buf bytes.Buffer
		sk := eventlog.New(&buf)
		lg := &log.Logger{Handler: sk, Level: log.InfoLevel}
		lg.WithFields(log.Fields{"part": "gateway", "instance": "edge-1", "cause": value}).Info(msg)
		g.Expect(sk.Close(context.Background())).To(Succeed())
		g.Expect(bytes.Count(buf.Bytes(), []byte{'\n'})).To(Equal(1))
		ln := parseLine(buf.String())
		g.Expect(ln.at.IsZero()).To(BeFalse())
		g.Expect(ln.instance).To(Equal("edge-1"))
		g.Expect(ln.get("part")).To(Equal("gateway"))
		g.Expect(ln.get("msg")).To(Equal(msg))
		g.Expect(ln.get("cause")).To(Equal(value))
	})
}
