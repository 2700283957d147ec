package storesync

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

// entries returns one object per word in kinds: "born" for a target with a start time, "silent" for one without, and anything else
// for an object that cannot be decoded.
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

func TestDecodeListSeparatesUnreadableEntries(t *testing.T) {
	tests := map[string]struct {
		entries          string
		list, unreadable string
	}{
		"all have a start time":                  {"born born born", "abc", ""},
		"none has a start time":                  {"silent silent silent", "abc", ""},
		"one lacks the start time of the others": {"born silent born", "ac", "b"},
		"only one has a start time":              {"silent silent born", "abc", ""},
		"one cannot be decoded":                  {"born other born", "ac", "b"},
		"undecodable ones are not counted":       {"other silent other", "b", "ac"},
		"no entries":                             {"", "", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mh := memory.New()
			sy := &syncer{ad: adapter.Adapter{Target: decodeKind}, lg: &log.Logger{Handler: mh, Level: log.InfoLevel}}
			list, unreadable := sy.decodeList(entries(tc.entries))
			got := ""
			for _, tg := range list {
				got += tg.ID
			}
			g.Expect(got).To(Equal(tc.list))
			g.Expect(strings.Join(unreadable, "")).To(Equal(tc.unreadable))
			g.Expect(mh.Entries).To(HaveLen(len(unreadable)), "one log entry for each")
		})
	}
}
