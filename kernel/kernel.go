// Package kernel starts the services of a process in the order of their dependencies,
// stops them in reverse order, and looks them up by name.
package kernel

import (
	"context"
	"errors"
	"fmt"

	"github.com/catkinspindle/catkinspindle"
)

// Kernel holds the services of one process.
type Kernel struct {
	services map[string]registration
	names    []string
	started  []string
}

type registration struct {
	service      catkinspindle.Service
	dependencies []string
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]registration{}}
}

// Register adds a service that is started after the services named in dependencies. It
// returns an error when the name is already registered.
func (k *Kernel) Register(name string, s catkinspindle.Service, dependencies ...string) error {
	if _, ok := k.services[name]; ok {
		return fmt.Errorf("service %q is registered twice", name)
	}
	k.services[name] = registration{service: s, dependencies: dependencies}
	k.names = append(k.names, name)
	return nil
}

// Lookup returns the service registered under name as a T, or an error when there is none
// or it has another type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	r, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("no service %q", name)
	}
	t, ok := r.service.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T", name, r.service)
	}
	return t, nil
}

// Start starts all services. When one fails, it stops those already started and returns
// the error. Missing and cyclic dependencies are errors.
func (k *Kernel) Start(ctx context.Context) error {
	state := map[string]int{}
	for _, name := range k.names {
		if err := k.start(ctx, name, state); err != nil {
			return errors.Join(err, k.Stop(ctx))
		}
	}
	return nil
}

const (
	visiting = 1
	running  = 2
)

func (k *Kernel) start(ctx context.Context, name string, state map[string]int) error {
	if state[name] == running {
		return nil
	}
	if state[name] == visiting {
		return fmt.Errorf("service %q depends on itself", name)
	}
	state[name] = visiting
	r, ok := k.services[name]
	if !ok {
		return fmt.Errorf("no service %q", name)
	}
	for _, dependency := range r.dependencies {
		if err := k.start(ctx, dependency, state); err != nil {
			return err
		}
	}
	if err := r.service.Start(ctx); err != nil {
		return fmt.Errorf("service %q: %w", name, err)
	}
	state[name] = running
	k.started = append(k.started, name)
	return nil
}

// Stop stops the started services in reverse order and returns their joined errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := k.services[name].service.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("service %q: %w", name, err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}
