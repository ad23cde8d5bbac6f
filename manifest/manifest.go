// Package manifest parses and validates the fleet configuration.
package manifest

import (
	"encoding/hex"
	"fmt"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/strictyaml"
)

// SizeLimit is the maximum size of a configuration in bytes. It leaves room for the
// envelope in which the configuration is stored on the platform.
const SizeLimit = 768 << 10

// Parse decodes and validates a configuration. File is the name used in errors, which
// also name the line and the key.
func Parse(file string, data []byte) (catkinspindle.FleetConfig, error) {
	var config catkinspindle.FleetConfig
	if len(data) > SizeLimit {
		return config, fmt.Errorf("%s: %d bytes are over the limit of %d", file, len(data), SizeLimit)
	}
	doc := strictyaml.New(file, data)
	if err := doc.Decode(&config); err != nil {
		return config, err
	}
	c := checker{doc: doc, config: config}
	for _, check := range []func() error{c.checkModels, c.checkDeployments, c.checkServices, c.checkCycles, c.checkWorkspaces} {
		if err := check(); err != nil {
			return catkinspindle.FleetConfig{}, err
		}
	}
	return config, nil
}

type checker struct {
	doc    strictyaml.Document
	config catkinspindle.FleetConfig
}

// checkNames returns an error when the list at key has an empty or duplicate name.
func checkNames[T any](c checker, key string, list []T, name func(T) string) error {
	seen := map[string]bool{}
	for i, item := range list {
		path := fmt.Sprintf("%s[%d].name", key, i)
		switch n := name(item); {
		case n == "":
			return c.doc.Errorf(path, "a name is needed")
		case seen[n]:
			return c.doc.Errorf(path, "%q stands twice", n)
		default:
			seen[n] = true
		}
	}
	return nil
}

func (c checker) checkModels() error {
	for i, m := range c.config.Models {
		if m.Version == "" {
			return c.doc.Errorf(fmt.Sprintf("models[%d].version", i), "a version is needed")
		}
	}
	return checkNames(c, "models", c.config.Models, func(m catkinspindle.ModelSpec) string { return m.Name })
}

func (c checker) checkDeployments() error {
	for i, d := range c.config.Deployments {
		if d.Kind != catkinspindle.KindEngine && d.Kind != catkinspindle.KindPlain {
			return c.doc.Errorf(fmt.Sprintf("deployments[%d].kind", i), "%q is neither engine nor plain", d.Kind)
		}
	}
	return checkNames(c, "deployments", c.config.Deployments, func(d catkinspindle.DeploymentSpec) string { return d.Name })
}

func (c checker) checkServices() error {
	for i, s := range c.config.Services {
		if err := c.checkService(fmt.Sprintf("services[%d]", i), s); err != nil {
			return err
		}
	}
	return checkNames(c, "services", c.config.Services, func(s catkinspindle.ServiceSpec) string { return s.Name })
}

func (c checker) checkService(path string, s catkinspindle.ServiceSpec) error {
	d, ok := c.config.Deployment(s.Deployment)
	if !ok {
		return c.doc.Errorf(path+".deployment", "no deployment %q", s.Deployment)
	}
	if s.Replicas < 1 {
		return c.doc.Errorf(path+".replicas", "%d replicas; at least 1 is needed", s.Replicas)
	}
	for i, dep := range s.DependsOn {
		if _, ok := c.config.Service(dep); !ok {
			return c.doc.Errorf(fmt.Sprintf("%s.depends-on[%d]", path, i), "no service %q", dep)
		}
	}
	switch s.Kind {
	case catkinspindle.ServiceModel:
		return c.checkModelService(path, s, d)
	case catkinspindle.ServicePlain:
		return c.checkPlainService(path, s, d)
	default:
		return c.doc.Errorf(path+".kind", "%q is neither model nor plain", s.Kind)
	}
}

func (c checker) checkModelService(path string, s catkinspindle.ServiceSpec, d catkinspindle.DeploymentSpec) error {
	if _, ok := c.config.Model(s.Model); !ok {
		return c.doc.Errorf(path+".model", "no model %q", s.Model)
	}
	if d.Kind != catkinspindle.KindEngine {
		return c.doc.Errorf(path+".deployment", "deployment %q has no engines", d.Name)
	}
	if len(s.Methods) > 0 {
		return c.doc.Errorf(path+".methods", "a model service has no methods")
	}
	return nil
}

func (c checker) checkPlainService(path string, s catkinspindle.ServiceSpec, d catkinspindle.DeploymentSpec) error {
	if s.Model != "" {
		return c.doc.Errorf(path+".model", "a plain service has no model")
	}
	if d.Kind != catkinspindle.KindPlain {
		return c.doc.Errorf(path+".deployment", "deployment %q is for engines", d.Name)
	}
	return checkNames(c, path+".methods", s.Methods, func(m catkinspindle.MethodSpec) string { return m.Name })
}

// checkCycles returns an error when a service depends on itself, directly or indirectly.
func (c checker) checkCycles() error {
	const visiting, done = 1, 2
	state := map[string]int{}
	var visit func(name string) bool
	visit = func(name string) bool {
		if state[name] != 0 {
			return state[name] == done
		}
		state[name] = visiting
		s, _ := c.config.Service(name)
		for _, dep := range s.DependsOn {
			if !visit(dep) {
				return false
			}
		}
		state[name] = done
		return true
	}
	for i, s := range c.config.Services {
		if !visit(s.Name) {
			return c.doc.Errorf(fmt.Sprintf("services[%d].depends-on", i), "%q depends on itself", s.Name)
		}
	}
	return nil
}

func (c checker) checkWorkspaces() error {
	keys := map[string]bool{}
	for i, w := range c.config.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		sum, err := hex.DecodeString(w.KeySHA256)
		if err != nil || len(sum) != 32 {
			return c.doc.Errorf(path+".key-sha256", "want 64 hexadecimal digits")
		}
		if keys[w.KeySHA256] {
			return c.doc.Errorf(path+".key-sha256", "two workspaces have this key")
		}
		keys[w.KeySHA256] = true
		if w.RequestsPerSecond < 0 || w.MaxTokens < 0 || w.DefaultTimeout < 0 {
			return c.doc.Errorf(path, "a limit is negative")
		}
	}
	return checkNames(c, "workspaces", c.config.Workspaces, func(w catkinspindle.WorkspaceSpec) string { return w.Name })
}
