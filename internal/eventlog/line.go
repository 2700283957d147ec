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

// The keys of the first fields of every line, and the outcome field: a line with an outcome other than outcomeServed is urgent.
const (
	timeKey       = "time"
	levelKey      = "level"
	partKey       = "part"
	messageKey    = "msg"
	requestKey    = "request"
	outcomeKey    = "outcome"
	outcomeServed = "served"
)

const (
	// timeLayout has a fixed width, so that sorting lines as text sorts them by time.
	timeLayout = "2006-01-02T15:04:05.000000Z07:00"
	// maxValueBytes limits the length of one value. It is longer than any error message of the program.
	maxValueBytes = 4 << 10
	// truncationMark is appended to a truncated value.
	truncationMark = "..."
	// maxPooledBytes is the largest buffer returned to the pool: several values of maxValueBytes.
	maxPooledBytes = 16 << 10
)

// linePool reuses line buffers.
var linePool = sync.Pool{New: func() any { return &line{} }}

// line is one formatted line.
type line struct {
	// buf holds the text. After format, it contains exactly one newline, at the end.
	buf []byte
	// fieldNames is scratch space to sort the field names.
	fieldNames []string
}

func newLine() *line { return linePool.Get().(*line) }

// free returns the line to the pool. The line must not be used afterwards.
func (ln *line) free() {
	if cap(ln.buf) > maxPooledBytes {
		return
	}
	clear(ln.fieldNames)
	ln.buf, ln.fieldNames = ln.buf[:0], ln.fieldNames[:0]
	linePool.Put(ln)
}

// format writes time, level, part, message and request, followed by the other fields sorted by name. Fields named time, level or msg are
// written with a leading underscore. The request stands near the start, so that a line that is cut short still names it.
func (ln *line) format(now time.Time, e *log.Entry) {
	ln.buf = append(ln.buf, timeKey+"="...)
	ln.buf = now.UTC().AppendFormat(ln.buf, timeLayout)
	ln.appendPair(levelKey, e.Level.String())
	if part, ok := e.Fields[partKey]; ok {
		ln.appendPair(partKey, part)
	}
	ln.appendPair(messageKey, e.Message)
	if request, ok := e.Fields[requestKey]; ok {
		ln.appendPair(requestKey, request)
	}
	for name := range e.Fields {
		if name != partKey && name != requestKey {
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

// appendPair writes a space, a key, an equals sign and a value.
func (ln *line) appendPair(key string, value any) {
	ln.buf = append(ln.buf, ' ')
	ln.buf = appendKey(ln.buf, key)
	ln.buf = append(ln.buf, '=')
	ln.buf = appendValue(ln.buf, value)
}

// appendKey writes a key, with an underscore in place of each character that is not allowed in a key. An empty key becomes an
// underscore.
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

// appendValue writes a value. Types that never need quotes are written directly.
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

// valueText returns a value as text. It formats with fmt, which tolerates nil pointers and panics in String and Error methods.
func valueText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case time.Duration:
		return v.String()
	}
	return fmt.Sprint(value)
}

// appendText writes a text, truncated to maxValueBytes and quoted where a logfmt reader needs quotes.
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

// truncate shortens a text that exceeds maxValueBytes to at most that length, without splitting a rune.
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

// appendEscaped writes a rune of a quoted text, escaped as in JSON, which both Go and logfmt readers understand.
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
