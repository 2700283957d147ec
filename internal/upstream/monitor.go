package upstream

import "time"

// Monitor tells what has happened so far on the connection of a call. It is safe for concurrent use.
type Monitor struct {
	cn *conn
	// writtenBefore is how many bytes had been written on the connection before the call.
	writtenBefore int64
}

// HasUnreadData reports whether data was received that was not read yet.
func (mo Monitor) HasUnreadData() bool { return mo.cn.hasUnreadData() }

// LastReadAt returns when data was last received on the connection, also for earlier calls; zero before.
func (mo Monitor) LastReadAt() time.Time { return mo.cn.state().LastReadAt }

// Unacknowledged returns how many bytes that were written are not acknowledged by the other end of the connection; 0 if unknown.
func (mo Monitor) Unacknowledged() int { return mo.cn.unacknowledged() }

// AckSilence returns for how long the other end of the connection has acknowledged neither data in flight nor probes of its closed receive
// window; 0 if none are outstanding or that is unknown.
func (mo Monitor) AckSilence() time.Duration { return mo.cn.ackSilence() }

// Acknowledged returns how many bytes of the call the other end of the connection has acknowledged.
func (mo Monitor) Acknowledged() int64 {
	return mo.cn.bytesWritten.Load() - mo.writtenBefore - int64(mo.cn.unacknowledged())
}
