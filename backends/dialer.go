// Package backends opens clients of backend servers.
package backends

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/engines"
	"github.com/catkinspindle/catkinspindle/plainservices"
	"github.com/catkinspindle/catkinspindle/wire"
)

// Dialer implements catkinspindle.Dialer over HTTP.
type Dialer struct {
	// calls carries plain calls and streams, whose answers do not name their request,
	// control what may be asked again.
	calls, control *wire.Client
}

// New returns a dialer whose clients connect within dialTimeout.
func New(dialTimeout time.Duration) *Dialer {
	return &Dialer{calls: wire.New(dialTimeout, wire.WithoutReuse()), control: wire.New(dialTimeout)}
}

// Engine implements catkinspindle.Dialer.
func (d *Dialer) Engine(vm catkinspindle.VM) catkinspindle.Engine {
	return engines.New(vm.Address, d.calls, d.control)
}

// Plain implements catkinspindle.Dialer.
func (d *Dialer) Plain(vm catkinspindle.VM) catkinspindle.PlainService {
	return plainservices.New(vm.Address, d.calls)
}
