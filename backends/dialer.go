// Package backends creates HTTP clients of backend servers.
package backends

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/engines"
	"github.com/catkinspindle/catkinspindle/plainservices"
	"github.com/catkinspindle/catkinspindle/wire"
)

// maxStatusBytes is the maximum size of an engine's status in bytes.
const maxStatusBytes = 1 << 20

// Dialer implements catkinspindle.Dialer over HTTP.
type Dialer struct {
	// calls is used for plain calls and streams. Their responses do not identify the
	// request, and a duplicate on a reused connection would be read as the next response.
	// Therefore calls does not reuse connections. control is used for requests that may be
	// repeated.
	calls, control *wire.Client
}

// New returns a dialer whose clients give up connecting after dialTimeout. opts apply to all of
// them.
func New(dialTimeout time.Duration, opts ...wire.Option) *Dialer {
	calls := append([]wire.Option{wire.WithoutKeepAlive()}, opts...)
	control := append([]wire.Option{wire.WithMaxJSON(maxStatusBytes)}, opts...)
	return &Dialer{calls: wire.NewClient(dialTimeout, calls...), control: wire.NewClient(dialTimeout, control...)}
}

// Engine implements catkinspindle.Dialer.
func (d *Dialer) Engine(vm catkinspindle.VM) catkinspindle.Engine {
	return engines.New(vm.Address, d.calls, d.control)
}

// Plain implements catkinspindle.Dialer.
func (d *Dialer) Plain(vm catkinspindle.VM) catkinspindle.PlainService {
	return plainservices.New(vm.Address, d.calls)
}
