package targetsim

import (
	"bytes"
	"fmt"
	"time"
)

const (
	// endlessPartBytes is the size of one write, and maxEndlessBytes after how many bytes the target gives up: far more than any caller
	// should take of a head or of an event.
	endlessPartBytes = 16 << 10
	maxEndlessBytes  = 64 << 20
	// trickleInterval is the time between two bytes. A watchdog that takes every byte as a sign of life never ends such a response.
	trickleInterval = 10 * time.Millisecond
)

// isEndless reports whether a response with the fault has no end. Its request was run nevertheless.
func isEndless(kd Kind) bool {
	return kd == EndlessHead || kd == EndlessLine || kd == EndlessEvent || kd == TrickledHead
}

// sendEndless writes a response without end until the caller closes the connection.
func (cn *conn) sendEndless(rs Response, kd Kind) {
	_, _ = fmt.Fprintf(cn.writer, "HTTP/1.1 %d OK\r\n", rs.Status) // Flush returns the error, here and below
	_ = rs.Header.Write(cn.writer)
	part := bytes.Repeat([]byte("x"), endlessPartBytes)
	switch kd {
	case EndlessHead:
		part = append([]byte("X-Endless: "), append(part, "\r\n"...)...)
	case EndlessEvent:
		_, _ = cn.writer.WriteString("\r\n")
		part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
	default:
		_, _ = cn.writer.WriteString("X-Endless: ")
	}
	if cn.writer.Flush() != nil {
		return
	}
	if kd == TrickledHead {
		cn.trickle()
		return
	}
	for range maxEndlessBytes / endlessPartBytes {
		if _, err := cn.socket.Write(part); err != nil {
			return
		}
	}
}

// trickle writes single bytes until the caller closes the connection.
func (cn *conn) trickle() {
	for {
		if _, err := cn.socket.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}
