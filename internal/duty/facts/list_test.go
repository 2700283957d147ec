package facts

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/targets"
)

// entries returns objects by what their targets tell: "born", "silent" on their birth, or what cannot be read.
func entries(kinds string) []objectstore.Object {
	var items []objectstore.Object
	for no, kind := range strings.Fields(kinds) {
		items = append(items, objectstore.Object{Name: string(rune('a' + no)), Version: 7, Value: json.RawMessage(kind)})
	}
	return items
}

func decodeKind(ob objectstore.Object) (targets.Target, error) {
	tg := targets.Target{ID: ob.Name}
	switch string(ob.Value) {
	case "born":
		tg.StartedAt = time.UnixMilli(1000)
	case "silent":
	default:
		return tg, errors.WithStack(&objectstore.StatusError{})
	}
	return tg, nil
}

func TestEntriesThatNameNoTarget(t *testing.T) {
	tests := map[string]struct {
		entries      string
		list, unread string
	}{
		"all tell their birth":                     {"born born born", "abc", ""},
		"none tells it":                            {"silent silent silent", "abc", ""},
		"one beside others does not":               {"born silent born", "ac", "b"},
		"one beside others does":                   {"silent silent born", "abc", ""},
		"one cannot be read":                       {"born other born", "ac", "b"},
		"those that cannot be read decide nothing": {"other silent other", "b", "ac"},
		"no entry":                                 {"", "", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mh := memory.New()
			rd := &reader{ad: adapter.Adapter{Target: decodeKind}, lg: &log.Logger{Handler: mh, Level: log.InfoLevel}}
			list, unread := rd.list(entries(tc.entries))
			got := ""
			for _, tg := range list {
				got += tg.ID
			}
			g.Expect(got).To(Equal(tc.list))
			g.Expect(strings.Join(unread, "")).To(Equal(tc.unread))
			g.Expect(mh.Entries).To(HaveLen(len(unread)), "a line for each")
		})
	}
}
