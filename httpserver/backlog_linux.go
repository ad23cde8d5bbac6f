package httpserver

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptWaiting returns a connection that waits to be accepted, or an error if there is none.
func acceptWaiting(l net.Listener) (net.Conn, error) {
	source, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.ECONNABORTED
		for errors.Is(err, syscall.ECONNABORTED) {
			accepted, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	if err := errors.Join(controlErr, err); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "")
	c, err := net.FileConn(file)
	return c, errors.Join(err, file.Close())
}
