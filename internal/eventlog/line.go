package eventlog

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
)

// The keys that come first in every line, and the field that makes a line urgent.
const (
	timeKey       = "time"
	levelKey      = "level"
	partKey       = "part"
	messageKey    = "msg"
	outcomeKey    = "outcome"
	outcomeServed = "served"
)

const (
	// timeLayout has a fixed width, so that lines sort as text.
	timeLayout = "2006-01-02T15:04:05.000000Z07:00"
	// maxValue bounds one value, in bytes: longer than any error of the program.
	maxValueBytes = 4 << 10
	// cutMark ends a value that was cut.
	truncationMark = "..."
	// maxPooled is the largest buffer kept for reuse, in bytes: several values of maxValue.
	maxPooledBytes = 16 << 10
)

// lines keeps buffers for reuse.
var linePool = sync.Pool{New: func() any { return &line{} }}

// line is one formatted line.
type line struct {
	// buf ends in the only newline of the line once format has run.
	buf []byte
	// names is room to sort the names of fields.
	fieldNames []string
}

func newLine() *line { return linePool.Get().(*line) }

// free gives the buffers back; the line must not be used afterwards.
func (ln *line) free() {
	if cap(ln.buf) > maxPooledBytes {
		return
	}
	clear(ln.fieldNames)
	ln.buf, ln.fieldNames = ln.buf[:0], ln.fieldNames[:0]
	linePool.Put(ln)
}

// format writes time, level, part and message, and then the other fields by name. A field that bears the name of
// one of the first three keys is written with an underscore before its name.
func (ln *line) format(now time.Time, e *log.Entry) {
	ln.buf = append(ln.buf, timeKey+"="...)
	ln.buf = now.UTC().AppendFormat(ln.buf, timeLayout)
	ln.appendPair(levelKey, e.Level.String())
	if part, ok := e.Fields[partKey]; ok {
		ln.appendPair(partKey, part)
	}
	ln.appendPair(messageKey, e.Message)
	for name := range e.Fields {
		if name != partKey {
			ln.fieldNames = append(ln.fieldNames, name)
		}
	}
	slices.Sort(ln.fieldNames)
	for _, name := range ln.fieldNames {
		if name == timeKey || name == levelKey || name == messageKey {
			ln.appendPair("_"+name, e.Fields[name])
			continue
		}
		ln.appendPair(name, e.Fields[name])
	}
	ln.buf = append(ln.buf, '\n')
}

// pair writes a space, a key and a value.
func (ln *line) appendPair(key string, value any) {
	ln.buf = append(ln.buf, ' ')
	ln.buf = appendKey(ln.buf, key)
	ln.buf = append(ln.buf, '=')
	ln.buf = appendValue(ln.buf, value)
}

// appendKey writes a key and puts an underscore for what a key cannot hold.
func appendKey(buf []byte, key string) []byte {
	if key == "" {
		return append(buf, '_')
	}
	for _, r := range key {
		if r <= ' ' || r == '=' || r == '"' || r == 0x7f || r == utf8.RuneError {
			r = '_'
		}
		buf = utf8.AppendRune(buf, r)
	}
	return buf
}

// appendValue writes a value; the kinds that need no quotes come first.
func appendValue(buf []byte, value any) []byte {
	switch v := value.(type) {
	case int:
		return strconv.AppendInt(buf, int64(v), 10)
	case int64:
		return strconv.AppendInt(buf, v, 10)
	case uint64:
		return strconv.AppendUint(buf, v, 10)
	case bool:
		return strconv.AppendBool(buf, v)
	case float64:
		return strconv.AppendFloat(buf, v, 'g', -1, 64)
	case time.Time:
		return v.UTC().AppendFormat(buf, timeLayout)
	}
	return appendText(buf, valueText(value))
}

// text returns a value as text. Formatting by fmt bears nil pointers and panics of methods.
func valueText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case time.Duration:
		return v.String()
	}
	return fmt.Sprint(value)
}

// appendText writes a text, cut to maxValue and in quotes when a reader would need them.
func appendText(buf []byte, s string) []byte {
	if len(s) > maxValueBytes {
		s = truncate(s) + truncationMark
	}
	if !needsQuotes(s) {
		return append(buf, s...)
	}
	buf = append(buf, '"')
	for _, r := range s {
		buf = appendEscaped(buf, r)
	}
	return append(buf, '"')
}

// cut shortens a text to maxValue bytes without splitting a rune.
func truncate(s string) string {
	end := maxValueBytes
	for end > maxValueBytes-utf8.UTFMax && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end]
}

func needsQuotes(s string) bool {
	for _, r := range s {
		if r <= ' ' || r == '=' || r == '"' || r == '\\' || r == 0x7f || r == utf8.RuneError {
			return true
		}
	}
	return s == ""
}

// appendEscaped writes a rune of a quoted text with the escapes of JSON, which both Go and logfmt readers know.
func appendEscaped(buf []byte, r rune) []byte {
	switch {
	case r == '"' || r == '\\':
		return append(buf, '\\', byte(r))
	case r == '\n':
		return append(buf, `\n`...)
	case r == '\r':
		return append(buf, `\r`...)
	case r == '\t':
		return append(buf, `\t`...)
	case r < ' ' || r == 0x7f:
		const hex = "0123456789abcdef"
		return append(buf, '\\', 'u', '0', '0', hex[r>>4], hex[r&0xf])
	}
	return utf8.AppendRune(buf, r)
}
