//go:build !linux

package http1

import "syscall"

// unacknowledged returns zero: other systems do not tell.
func unacknowledged(syscall.RawConn) (size int, reset bool, err error) { return 0, false, nil }
