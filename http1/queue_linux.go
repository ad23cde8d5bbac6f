package http1

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that has been reset (TCP_CLOSE).
const tcpClose = 7

// unacknowledged returns how many bytes of what was written the peer has not acknowledged, and
// whether it has reset the connection. After a reset the number does not change.
func unacknowledged(conn syscall.RawConn) (size int, reset bool, err error) {
	controlErr := conn.Control(func(fd uintptr) {
		if size, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil || size == 0 {
			return
		}
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			reset = info.State == tcpClose
		}
	})
	return size, reset, errors.Join(controlErr, err)
}
