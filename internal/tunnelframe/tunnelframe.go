// Package tunnelframe frames what a peer forwards from a target, so that the end of the target's connection can be told from the end of
// the peer: when a process is killed, the kernel closes its connections as if it had closed them itself. The frames are those of the tunnel,
// and independent of how the target marks the end of its answer.
//
// A frame is a length of two bytes, big-endian, and as many bytes of payload. Two lengths stand for marks without payload, which end the
// data: the target closed its connection, or it broke off.
package tunnelframe

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/tunnel"
)

const (
	// HeaderBytes is the size of the length before the payload.
	HeaderBytes = 2
	// MaxPayloadBytes is the maximum size of a payload.
	MaxPayloadBytes = 8 << 10

	endLength   = 0
	resetLength = 1<<16 - 1
)

// SetLength writes the length of a frame into its header.
func SetLength(frame []byte) {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-HeaderBytes))
}

// EndMark returns the mark of a target that closed its connection in order.
func EndMark() []byte { return binary.BigEndian.AppendUint16(nil, endLength) }

// ResetMark returns the mark of a target whose connection broke off.
func ResetMark() []byte { return binary.BigEndian.AppendUint16(nil, resetLength) }

// MalformedError means that a length is neither that of a payload nor a mark.
type MalformedError struct{ Length int }

// Error includes the length.
func (me *MalformedError) Error() string {
	return "malformed frame with a length of " + strconv.Itoa(me.Length) + " bytes"
}

// Reader reads the payloads of frames. It keeps no payload back, so that nothing but src holds unread data.
type Reader struct {
	src io.Reader
	// header holds the bytes of the present header, of which headerLen have been read.
	header    [HeaderBytes]byte
	headerLen int
	// remaining is how many bytes of the present payload have not been read.
	remaining int
	// err is what ended the data; nil before.
	err error
}

// NewReader returns a Reader of the frames from a connection to a peer.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

// Read returns io.EOF once the target has closed its connection in order, and the error of a reset connection once it broke off. If the
// connection to the peer ends before, it fails with a tunnel.CutError. Timeouts and the close of the connection by this process are
// returned as they are.
func (rd *Reader) Read(b []byte) (int, error) {
	for rd.err == nil {
		if len(b) == 0 {
			return 0, nil
		}
		n, err := rd.src.Read(b)
		n = rd.decode(b[:n])
		if err != nil && rd.err == nil {
			err = asCut(err)
			if !isTransient(err) {
				rd.err = err
			}
			return n, err
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, rd.err
}

// decode moves the payloads in b to its front, and returns their length.
func (rd *Reader) decode(b []byte) int {
	payload := 0
	for len(b) > payload && rd.err == nil {
		in := b[payload:]
		if rd.remaining > 0 {
			n := min(rd.remaining, len(in))
			rd.remaining -= n
			payload += n
			continue
		}
		n := copy(rd.header[rd.headerLen:], in)
		rd.headerLen += n
		b = b[:payload+copy(in, in[n:])]
		if rd.headerLen == HeaderBytes {
			rd.headerLen = 0
			rd.begin(int(binary.BigEndian.Uint16(rd.header[:])))
		}
	}
	return payload
}

// begin begins the frame of a header.
func (rd *Reader) begin(length int) {
	switch {
	case length == endLength:
		rd.err = io.EOF
	case length == resetLength:
		rd.err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case length > MaxPayloadBytes:
		rd.err = &tunnel.CutError{Cause: &MalformedError{Length: length}}
	default:
		rd.remaining = length
	}
}

// asCut returns a tunnel.CutError for an error that shows the end of the connection to the peer.
func asCut(err error) error {
	if isTransient(err) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return &tunnel.CutError{Cause: err}
}

// isTransient reports whether a later read may succeed.
func isTransient(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
