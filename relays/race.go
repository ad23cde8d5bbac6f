package relays

import (
	"net"
	"sync"
	"time"
)

// race is an attempt to connect to a replica over two paths. The first connection is used.
type race struct {
	connector *Connector
	address   string
	// won has the connection; lost is closed when both paths have failed, ownFailed when this
	// node's own has.
	won             chan net.Conn
	lost, ownFailed chan struct{}

	mu               sync.Mutex
	decided, relayed bool
	ownErr, relayErr error
}

// endOwn ends the attempt over this node's own path.
func (r *race) endOwn(conn net.Conn, err error) {
	if err == nil {
		r.connector.worked(r.address)
		r.finish(conn)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownErr = err
	close(r.ownFailed)
	r.bothEnded()
}

// endRelayed ends the attempt over another node.
func (r *race) endRelayed(conn net.Conn, err error) {
	if err == nil {
		r.finish(conn)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayErr, r.relayed = err, err == nil
	r.bothEnded()
}

// bothEnded records a failed path, or the loss of the race. The caller holds mu.
func (r *race) bothEnded() {
	switch {
	case r.ownErr == nil:
	case r.relayed:
		r.connector.paths.Failed(time.Now(), r.address)
	case r.relayErr != nil:
		close(r.lost)
	}
}

// finish hands over the connection if it is the first one, and closes it otherwise.
func (r *race) finish(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decided {
		_ = conn.Close() // It has carried no request.
		return
	}
	r.decided = true
	r.won <- conn
}

// abandon makes later connections close.
func (r *race) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decided {
		_ = (<-r.won).Close() // It has carried no request.
	}
	r.decided = true
}
