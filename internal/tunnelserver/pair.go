package tunnelserver

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/tunnelframe"
)

// pair is the two connections of a tunnel.
type pair struct {
	peer, target *net.TCPConn
	// framed is set if the peer takes the target's data in frames. A peer of an older build does not.
	framed bool
	// writeMu is held during each write to the target, and guards writeFailed, which is set once one has failed.
	writeMu     sync.Mutex
	writeFailed bool
}

// forward forwards bytes until both directions have ended.
func (pr *pair) forward() {
	var wg sync.WaitGroup
	wg.Go(pr.forwardToTarget)
	wg.Go(pr.forwardToPeer)
	wg.Wait()
}

// forwardToTarget forwards what the peer sends. When the peer closes its side, the connection to the target is closed, which ends the work
// there.
func (pr *pair) forwardToTarget() {
	readErr, writeErr := copyParts(pr.peer, 0, pr.writeToTarget)
	if writeErr != nil && pr.framed {
		// What the target sent before it ended is still forwarded. Data that is left unread would reset the connection to the peer.
		_, readErr = io.Copy(io.Discard, pr.peer)
		writeErr = nil
	}
	if readErr != nil || writeErr != nil {
		pr.reset()
		return
	}
	closeIgnoringError(pr.target)
}

func (pr *pair) writeToTarget(b []byte) error {
	pr.writeMu.Lock()
	defer pr.writeMu.Unlock()
	_, err := pr.target.Write(b)
	pr.writeFailed = pr.writeFailed || err != nil
	return errors.Wrap(err, "forward data to target")
}

const (
	// failedWriteWait bounds the wait for a write that is under way. One to a connection that was reset returns at once.
	failedWriteWait = 200 * time.Millisecond
	// failedWriteStep is the time between two looks at it.
	failedWriteStep = time.Millisecond
)

// brokeOff reports whether the connection to a target broke off that was read to its end. The kernel reports a reset only once: to a write,
// and the end of the data to the next read.
func (pr *pair) brokeOff() bool {
	for end := time.Now().Add(failedWriteWait); !pr.writeMu.TryLock(); time.Sleep(failedWriteStep) {
		if time.Now().After(end) {
			return false
		}
	}
	defer pr.writeMu.Unlock()
	return pr.writeFailed
}

// forwardToPeer forwards what the target sends. The peer sees after the last byte that the target closed its side or broke off.
func (pr *pair) forwardToPeer() {
	if !pr.framed {
		readErr, writeErr := copyAll(pr.peer, pr.target)
		if readErr != nil || writeErr != nil || !pr.endPeer() {
			pr.reset()
		}
		return
	}
	readErr, writeErr := copyFrames(pr.peer, pr.target)
	mark := tunnelframe.EndMark()
	if readErr != nil || writeErr == nil && pr.brokeOff() {
		mark = tunnelframe.ResetMark()
	}
	if writeErr == nil {
		_, writeErr = pr.peer.Write(mark)
	}
	if writeErr != nil || !pr.endPeer() {
		pr.reset()
	}
}

// endPeer closes the sending side of the connection to the peer, and reports whether that succeeded.
func (pr *pair) endPeer() bool {
	return pr.peer.CloseWrite() == nil && pr.peer.SetReadDeadline(time.Now().Add(closeTimeout)) == nil
}

// cut ends the tunnel before the target's connection has ended. A peer that takes frames sees this by the missing mark, so that it does not
// take it for an end or a failure of the target.
func (pr *pair) cut() {
	if pr.framed {
		// Nothing can be written to the peer after this, not even the mark of the target's connection, which is reset next.
		closeIgnoringError(pr.peer)
	}
	pr.reset()
}

// reset resets both connections, so that neither side takes what it has for complete.
func (pr *pair) reset() {
	for _, tc := range []*net.TCPConn{pr.peer, pr.target} {
		_ = tc.SetLinger(0) // fails only if the connection is closed already
		closeIgnoringError(tc)
	}
}

// copyAll copies until the source ends or an operation fails. The errors are nil if the source ended.
func copyAll(to io.Writer, from io.Reader) (readErr, writeErr error) {
	return copyParts(from, 0, func(part []byte) error {
		_, err := to.Write(part)
		return errors.Wrap(err, "forward data")
	})
}

// copyFrames is copyAll with a frame for each part that is read.
func copyFrames(to io.Writer, from io.Reader) (readErr, writeErr error) {
	return copyParts(from, tunnelframe.HeaderBytes, func(frame []byte) error {
		tunnelframe.SetLength(frame)
		_, err := to.Write(frame)
		return errors.Wrap(err, "forward frame")
	})
}

// copyParts reads parts until the source ends or an operation fails, and writes each with some room for a header in front of it.
func copyParts(from io.Reader, headerBytes int, write func([]byte) error) (readErr, writeErr error) {
	buf := make([]byte, headerBytes+bufferBytes)
	for {
		n, err := from.Read(buf[headerBytes:])
		if n > 0 {
			if writeErr := write(buf[:headerBytes+n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return errors.Wrap(err, "read data to forward"), nil
		}
	}
}
