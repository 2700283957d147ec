package explain

import (
	"strconv"
	"strings"
	"time"
)

// field is one key with its value.
type field struct {
	key string
	// raw is the value as it stands in the line, quotes included.
	raw string
	// value is the value without quotes and escapes.
	value string
}

// line is one log line of an instance.
type line struct {
	// instance is empty when neither a field nor a prefix names it.
	instance string
	// at is the instance's own clock; zero when the line has none.
	at time.Time
	// fields are in the order of the line.
	fields []field
}

// get returns the value of a key, or nothing.
func (ln *line) get(key string) string {
	for i := range ln.fields {
		if ln.fields[i].key == key {
			return ln.fields[i].value
		}
	}
	return ""
}

// parse reads a logfmt line. It never fails, since a process that is killed leaves half a line: what has no key is
// passed over, and a quote that is not closed reaches to the end.
func parseLine(text string) line {
	var ln line
	prefix := ""
	rest := strings.TrimSpace(text)
	for rest != "" {
		var fd field
		fd, rest = nextField(rest)
		switch {
		case fd.key != "":
			ln.fields = append(ln.fields, fd)
		case prefix == "" && len(ln.fields) == 0:
			prefix = strings.Trim(fd.raw, "[]:|")
		}
	}
	ln.instance = ln.get("instance")
	if ln.instance == "" {
		ln.instance = prefix
	}
	// A time that cannot be read stays zero, and the reader puts the line after the one before it.
	ln.at, _ = time.Parse(time.RFC3339Nano, ln.get("time"))
	return ln
}

// next cuts the first word or pair from a text that starts with neither a space nor nothing.
func nextField(text string) (fd field, rest string) {
	end := strings.IndexAny(text, " \t=")
	switch {
	case end < 0:
		return field{raw: text}, ""
	case text[end] != '=':
		return field{raw: text[:end]}, trimLeft(text[end:])
	}
	fd.key = text[:end]
	text = text[end+1:]
	if strings.HasPrefix(text, `"`) {
		end = quotedEnd(text)
	} else if end = strings.IndexAny(text, " \t"); end < 0 {
		end = len(text)
	}
	fd.raw = text[:end]
	fd.value = unquote(fd.raw)
	return fd, trimLeft(text[end:])
}

func trimLeft(text string) string { return strings.TrimLeft(text, " \t") }

// closing returns where a quoted value ends.
func quotedEnd(text string) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// unquote returns a quoted value without quotes, and any other as it is.
func unquote(raw string) string {
	if s, err := strconv.Unquote(raw); err == nil && raw[0] == '"' {
		return s
	}
	return strings.Trim(raw, `"`)
}
