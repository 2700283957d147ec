// Package sockopt sets how soon the kernel gives up a TCP connection whose other end does not answer.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Liveness is the detection of a lost connection. The zero value of a field leaves the default in place.
type Liveness struct {
	// UserTimeout is how long sent data may stay unacknowledged. On Linux it also decides when keep-alive probes give up, whatever
	// their count: at the first time for a probe that is UserTimeout or more after the last data, if a probe is unanswered.
	UserTimeout time.Duration
	// KeepAliveIdle is the time without data before the first keep-alive probe, KeepAliveInterval the time between two probes. Both are
	// in whole seconds.
	KeepAliveIdle, KeepAliveInterval time.Duration
}

// Dialer returns a dialer whose connections have these options.
func (lv Liveness) Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: lv.keepAliveConfig(), Control: lv.control}
}

// Apply sets the options on an open connection.
func (lv Liveness) Apply(tc *net.TCPConn) error {
	if err := tc.SetKeepAliveConfig(lv.keepAliveConfig()); err != nil {
		return errors.Wrap(err, "set keep-alive probes")
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return lv.control("", "", rc)
}

// MaxProbes returns how many keep-alive probes in a row must stay unanswered before the kernel gives up a connection without
// unacknowledged data.
func (lv Liveness) MaxProbes() int {
	return int((lv.UserTimeout - lv.KeepAliveIdle + lv.KeepAliveInterval - 1) / lv.KeepAliveInterval)
}

func (lv Liveness) keepAliveConfig() net.KeepAliveConfig {
	// Zero fields stand for the defaults of the net package.
	kc := net.KeepAliveConfig{Enable: true, Idle: lv.KeepAliveIdle, Interval: lv.KeepAliveInterval}
	if lv.UserTimeout > 0 && lv.KeepAliveInterval > 0 {
		kc.Count = lv.MaxProbes()
	}
	return kc
}

// control sets the user timeout of a socket. Its signature is that of net.Dialer.Control.
func (lv Liveness) control(_, _ string, rc syscall.RawConn) error {
	if lv.UserTimeout == 0 {
		return nil
	}
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(lv.UserTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, optErr), "set TCP user timeout")
}
