package upstream

import (
	"strconv"
	"time"
)

const (
	// maxHeadBytes bounds the head of a response: as much as the head of a caller's request may have.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head. Each field costs many times its bytes once it is decoded.
	maxHeadLines = 256
	// maxHeadDuration bounds the time from the first byte of a head to its end, if the call sets no bound. Targets write a head at once, so
	// that only lost packets delay the rest of it.
	maxHeadDuration = 3 * time.Second
)

// HeadTooLargeError reports that a target sent a head that exceeds the maximum of bytes or lines.
type HeadTooLargeError struct{}

// Error names the maximum.
func (*HeadTooLargeError) Error() string {
	return "response head has more than " + strconv.Itoa(maxHeadBytes) + " bytes or " + strconv.Itoa(maxHeadLines) + " lines"
}

// SlowHeadError reports that a target began to send a head and did not complete it in time.
type SlowHeadError struct{ After time.Duration }

// Error includes the time.
func (se *SlowHeadError) Error() string {
	return "response head is incomplete after " + se.After.String()
}

// headScanner finds the end of a head in the bytes that are received, and counts its bytes and lines. The body that follows is not counted.
// The zero value is at the start of a head.
type headScanner struct {
	// bytes and lines are what was scanned of the head; both include the status line.
	bytes, lines int
	// lineBytes is the number of bytes in the current line, and lineLast the last of them.
	lineBytes int
	lineLast  byte
	// ended is set after the empty line.
	ended bool
	// beyond is the number of bytes after the head.
	beyond int
	// err is the HeadTooLargeError of a head that exceeds a bound. The parser loses it if the connection fails in the middle of a line.
	err error
}

// scan continues with the next received bytes. It fails with a HeadTooLargeError once the head exceeds a bound. That includes a head whose
// end is found here but not by the parser, which then goes on reading.
func (hs *headScanner) scan(b []byte) error {
	for i, ch := range b {
		if hs.ended {
			hs.beyond += len(b) - i
			break
		}
		hs.scanByte(ch)
		if hs.exceedsBound() {
			break
		}
	}
	if hs.exceedsBound() {
		hs.err = &HeadTooLargeError{}
	}
	return hs.err
}

func (hs *headScanner) exceedsBound() bool {
	return hs.bytes > maxHeadBytes || hs.lines > maxHeadLines || hs.beyond > maxHeadBytes
}

func (hs *headScanner) scanByte(ch byte) {
	hs.bytes++
	if ch != '\n' {
		hs.lineBytes++
		hs.lineLast = ch
		return
	}
	hs.ended = hs.lineBytes == 0 || hs.lineBytes == 1 && hs.lineLast == '\r'
	hs.lines++
	hs.lineBytes = 0
}

// begun reports whether a head has begun and not ended.
func (hs *headScanner) begun() bool { return hs.bytes > 0 && !hs.ended }
