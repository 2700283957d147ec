package explain

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// field is a key and its value.
type field struct {
	key string
	// raw is the value as written in the line, including quotes.
	raw string
	// value is the value without quotes and escapes.
	value string
}

// line is one log line of an instance.
type line struct {
	// instance is empty if neither a field nor a prefix names it.
	instance string
	// at is the time by the clock of the instance; zero if the line has none.
	at time.Time
	// fields are in the order of the line.
	fields []field
}

// get returns the value of a key, or an empty string.
func (ln *line) get(key string) string {
	for i := range ln.fields {
		if ln.fields[i].key == key {
			return ln.fields[i].value
		}
	}
	return ""
}

// parseLine parses a logfmt line. It never fails, because a killed process may leave a truncated line: words without a key are
// skipped, and an unclosed quote extends to the end of the line. A word before the first field is a prefix that names the instance.
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
	// A time that cannot be parsed stays zero, and reader.add places the line after the previous one of its instance.
	ln.at, _ = time.Parse(time.RFC3339Nano, ln.get("time"))
	return ln
}

// eachLine calls add for each line of a text, which may lack its final newline. It returns the error of the reader.
func eachLine(r io.Reader, add func(text string)) error {
	br := bufio.NewReader(r)
	for {
		text, err := br.ReadString('\n')
		if text != "" {
			add(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log lines")
		}
	}
}

// nextField cuts the first word or key=value pair from a text. The text must not be empty or start with a space.
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

// quotedEnd returns the index after the closing quote of a quoted value, or the length of the text if there is none.
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

// unquote returns a value without its quotes and escapes. A value with an unclosed quote loses only its quotes.
func unquote(raw string) string {
	if s, err := strconv.Unquote(raw); err == nil && raw[0] == '"' {
		return s
	}
	return strings.Trim(raw, `"`)
}
