package catkinspindle

import (
	"cmp"
	"slices"
	"time"
)

// FleetConfig is the operators' configuration of the fleet: its models, deployments and
// services, and the limits of its workspaces.
type FleetConfig struct {
	// Version is the version of the platform object that holds the
	// configuration; zero means that none is known.
	Version     int64            `yaml:"-" json:"version"`
	Models      []ModelSpec      `yaml:"models" json:"models"`
	Deployments []DeploymentSpec `yaml:"deployments" json:"deployments"`
	Services    []ServiceSpec    `yaml:"services" json:"services"`
	Workspaces  []WorkspaceSpec  `yaml:"workspaces" json:"workspaces"`
	// LoadsPerSecond bounds the rate of loads from the weight store over all
	// data centres; zero means DefaultLoadsPerSecond.
	LoadsPerSecond float64 `yaml:"loads-per-second,omitempty" json:"loads-per-second,omitempty"`
}

// DefaultLoadsPerSecond is the default of FleetConfig.LoadsPerSecond.
const DefaultLoadsPerSecond = 2

// ModelSpec names a model, the version to serve and its adapters.
type ModelSpec struct {
	Name     string   `yaml:"name" json:"name"`
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// DeploymentSpec describes a group of backend servers of one kind.
type DeploymentSpec struct {
	Name string `yaml:"name" json:"name"`
	Kind VMKind `yaml:"kind" json:"kind"`
	// ChecksFencing says whether the backend servers reject an order that
	// carries an outdated fencing token.
	ChecksFencing bool `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
}

// ServiceKind says whether a service runs a model or is plain.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// ServiceSpec describes a service and lists the services that it depends on.
type ServiceSpec struct {
	Name       string       `yaml:"name" json:"name"`
	Kind       ServiceKind  `yaml:"kind" json:"kind"`
	Deployment string       `yaml:"deployment" json:"deployment"`
	Replicas   int          `yaml:"replicas" json:"replicas"`
	DependsOn  []string     `yaml:"depends-on,omitempty" json:"depends-on,omitempty"`
	Model      string       `yaml:"model,omitempty" json:"model,omitempty"`
	Role       string       `yaml:"role,omitempty" json:"role,omitempty"`
	Methods    []MethodSpec `yaml:"methods,omitempty" json:"methods,omitempty"`
}

// MethodSpec describes a method of a plain service.
type MethodSpec struct {
	Name string `yaml:"name" json:"name"`
	// Idempotent says that a call of the method may be retried.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
}

// WorkspaceSpec describes a workspace and its limits over the whole fleet. Zero
// means no limit.
type WorkspaceSpec struct {
	Name              string  `yaml:"name" json:"name"`
	KeySHA256         string  `yaml:"key-sha256" json:"key-sha256"`
	RequestsPerSecond float64 `yaml:"requests-per-second,omitempty" json:"requests-per-second,omitempty"`
	// MaxTokens bounds the prompt tokens in flight.
	MaxTokens      int           `yaml:"max-tokens,omitempty" json:"max-tokens,omitempty"`
	DefaultTimeout time.Duration `yaml:"default-timeout,omitempty" json:"default-timeout,omitempty"`
}

// WithVersion returns a copy of c with the version v.
func (c FleetConfig) WithVersion(v int64) FleetConfig {
	c.Version = v
	return c
}

// Model returns the model called name.
func (c FleetConfig) Model(name string) (ModelSpec, bool) {
	return find(c.Models, func(m ModelSpec) bool { return m.Name == name })
}

// Deployment returns the deployment called name.
func (c FleetConfig) Deployment(name string) (DeploymentSpec, bool) {
	return find(c.Deployments, func(d DeploymentSpec) bool { return d.Name == name })
}

// Service returns the service called name.
func (c FleetConfig) Service(name string) (ServiceSpec, bool) {
	return find(c.Services, func(s ServiceSpec) bool { return s.Name == name })
}

// WorkspaceByKey returns the workspace whose API key has the SHA-256 hash sum.
func (c FleetConfig) WorkspaceByKey(sum string) (WorkspaceSpec, bool) {
	return find(c.Workspaces, func(w WorkspaceSpec) bool { return w.KeySHA256 == sum })
}

// Workspace returns the workspace called name.
func (c FleetConfig) Workspace(name string) (WorkspaceSpec, bool) {
	return find(c.Workspaces, func(w WorkspaceSpec) bool { return w.Name == name })
}

// Method returns the method called name.
func (s ServiceSpec) Method(name string) (MethodSpec, bool) {
	return find(s.Methods, func(m MethodSpec) bool { return m.Name == name })
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}

// Assignment maps a backend server to the service that it serves and, for an
// engine, to the desired state.
type Assignment struct {
	VM      VM
	Service string
	Want    EngineState
}

// Assign assigns backend servers to services. Each service gets the first servers
// of its deployment in the order of their names, without those that are leaving.
// Services that share a deployment are served in the order of FleetConfig.Services.
func (c FleetConfig) Assign(vms []VM) []Assignment {
	taken := map[string]bool{}
	var all []Assignment
	for _, s := range c.Services {
		n := 0
		for _, vm := range candidates(s, vms) {
			if n == s.Replicas {
				break
			}
			if taken[vm.Name] {
				continue
			}
			taken[vm.Name] = true
			n++
			all = append(all, Assignment{VM: vm, Service: s.Name, Want: c.wantedState(s)})
		}
	}
	return all
}

func candidates(s ServiceSpec, vms []VM) []VM {
	var list []VM
	for _, vm := range vms {
		if vm.Deployment == s.Deployment && !vm.Leaving {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (c FleetConfig) wantedState(s ServiceSpec) EngineState {
	if s.Kind != ServiceModel {
		return EngineState{}
	}
	m, _ := c.Model(s.Model)
	return EngineState{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Role: s.Role}
}
