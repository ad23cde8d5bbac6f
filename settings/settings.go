// Package settings reads and validates the settings file of a node.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/strictyaml"
)

// Settings is the configuration of one node.
type Settings struct {
	// Name is the name of the VM on the platform.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data-centre"`
	// Callers, Peers and Operators are the listen addresses, IP:PORT, of the interfaces
	// for callers, peers and operators.
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	// CallersURL is the base URL of this node as returned to callers that request
	// addresses. It defaults to http://CALLERS.
	CallersURL string `yaml:"callers-url"`
	// PeerAddress is the address, IP:PORT, that peers dial. It defaults to Peers.
	PeerAddress string `yaml:"peer-address"`
	// Platform is the base URL of the platform's object API.
	Platform string `yaml:"platform"`
	// Seeds are the addresses, IP:PORT, of peers to contact at start.
	Seeds  []string             `yaml:"seeds"`
	Keys   keys                 `yaml:"keys"`
	Timing catkinspindle.Timing `yaml:"timing"`
	Limits catkinspindle.Limits `yaml:"limits"`
	Policy catkinspindle.Policy `yaml:"policy"`
}

// keys holds the paths of the PEM files for mutual TLS between nodes.
type keys struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Default returns the default settings. Fields without a default are empty.
func Default() Settings {
	return Settings{
		Timing: catkinspindle.DefaultTiming(),
		Limits: catkinspindle.DefaultLimits(),
		Policy: catkinspindle.DefaultPolicy(),
	}
}

// Load reads and validates the settings file. A validation error names file, line and key.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. File is the name used in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	doc := strictyaml.New(file, data)
	if err := doc.Decode(&s); err != nil {
		return s, err
	}
	if s.CallersURL == "" {
		s.CallersURL = "http://" + s.Callers
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.Peers
	}
	return s, validate(doc, s)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func validate(doc strictyaml.Document, s Settings) error {
	for _, check := range []func(strictyaml.Document, Settings) error{checkNames, checkAddresses, checkKeys, checkTiming, checkLimits, checkPolicy} {
		if err := check(doc, s); err != nil {
			return err
		}
	}
	return nil
}

// keyValue pairs a settings key with its value.
type keyValue[T any] struct {
	key string
	v   T
}

func checkNames(doc strictyaml.Document, s Settings) error {
	for _, name := range []keyValue[string]{{"name", s.Name}, {"data-centre", s.DataCentre}} {
		if !namePattern.MatchString(name.v) {
			return doc.Errorf(name.key, "%q must consist of lower-case letters, digits and inner hyphens", name.v)
		}
	}
	return nil
}

func checkAddresses(doc strictyaml.Document, s Settings) error {
	addresses := []keyValue[string]{
		{"callers", s.Callers},
		{"peers", s.Peers},
		{"operators", s.Operators},
		{"peer-address", s.PeerAddress},
	}
	for i, seed := range s.Seeds {
		addresses = append(addresses, keyValue[string]{fmt.Sprintf("seeds[%d]", i), seed})
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address.v)
		if err != nil {
			return doc.Errorf(address.key, "%q must have the form IP:PORT", address.v)
		}
		if net.ParseIP(host) == nil {
			return doc.Errorf(address.key, "%q must have an IP address, not a host name", address.v)
		}
	}
	for _, raw := range []keyValue[string]{{"platform", s.Platform}, {"callers-url", s.CallersURL}} {
		u, err := url.Parse(raw.v)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return doc.Errorf(raw.key, "%q must be an http or https URL", raw.v)
		}
	}
	return nil
}

func checkKeys(doc strictyaml.Document, s Settings) error {
	files := []keyValue[string]{
		{"keys.certificate", s.Keys.Certificate},
		{"keys.key", s.Keys.Key},
		{"keys.authority", s.Keys.Authority},
	}
	for _, file := range files {
		if file.v == "" {
			return doc.Errorf(file.key, "missing file path")
		}
		if _, err := os.ReadFile(file.v); err != nil {
			return doc.Errorf(file.key, "%w", err)
		}
	}
	return nil
}

func checkTiming(doc strictyaml.Document, s Settings) error {
	t := s.Timing
	durations := []keyValue[time.Duration]{
		{"heartbeat", t.Heartbeat},
		{"failure-timeout", t.FailureTimeout},
		{"lease", t.Lease},
		{"renew", t.RenewInterval},
		{"status", t.StatusInterval},
		{"vms", t.VMsInterval},
		{"address-lifetime", t.AddressLifetime},
		{"progress", t.ProgressTimeout},
		{"hold", t.HoldLimit},
		{"call", t.CallTimeout},
		{"key-retention", t.KeyRetention},
		{"reconcile-lease", t.ReconcileLease},
		{"longest-order", t.LongestOrder},
	}
	for _, d := range durations {
		if d.v <= 0 {
			return doc.Errorf("timing."+d.key, "%v is not positive", d.v)
		}
	}
	switch {
	case t.FailureTimeout < 3*t.Heartbeat:
		return doc.Errorf("timing.failure-timeout", "%v is less than three heartbeat intervals of %v", t.FailureTimeout, t.Heartbeat)
	case t.Lease < 2*t.RenewInterval:
		return doc.Errorf("timing.lease", "%v is less than two renew intervals of %v", t.Lease, t.RenewInterval)
	case t.ReconcileLease <= t.LongestOrder:
		return doc.Errorf("timing.reconcile-lease", "%v must be greater than longest-order, %v", t.ReconcileLease, t.LongestOrder)
	case t.KeyRetention <= s.Limits.MaxTimeout:
		return doc.Errorf("timing.key-retention", "%v must be greater than limits.max-timeout, %v", t.KeyRetention, s.Limits.MaxTimeout)
	}
	return nil
}

func checkLimits(doc strictyaml.Document, s Settings) error {
	l := s.Limits
	counts := []keyValue[int64]{
		{"max-body", l.MaxBody},
		{"max-timeout", int64(l.MaxTimeout)},
		{"max-requests", int64(l.MaxRequests)},
		{"max-tokens", int64(l.MaxTokens)},
		{"attempts", int64(l.Attempts)},
	}
	if least := l.MinBodyMemory(); l.BodyMemory != 0 && l.BodyMemory < least {
		return doc.Errorf("limits.body-memory", "%d is under %d, the least for this max-body", l.BodyMemory, least)
	}
	for _, n := range counts {
		if n.v <= 0 {
			return doc.Errorf("limits."+n.key, "%d is not positive", n.v)
		}
	}
	return nil
}

func checkPolicy(doc strictyaml.Document, s Settings) error {
	p := s.Policy
	switch {
	case p.Order != catkinspindle.OrderFIFO && p.Order != catkinspindle.OrderStretch:
		return doc.Errorf("policy.order", "%q is neither fifo nor stretch", p.Order)
	case p.Stretch < 0:
		return doc.Errorf("policy.stretch", "%v is negative", p.Stretch)
	case p.LongTokens <= 0:
		return doc.Errorf("policy.long-tokens", "%d is not positive", p.LongTokens)
	case p.LongShare <= 0 || p.LongShare > 1:
		return doc.Errorf("policy.long-share", "%v is not in (0, 1]", p.LongShare)
	case p.Interference < 0 || p.Interference > 1:
		return doc.Errorf("policy.interference", "%v is not in [0, 1]", p.Interference)
	case p.PreferShortOnly < 0:
		return doc.Errorf("policy.prefer-closed", "%v is negative", p.PreferShortOnly)
	case p.Spread < 0:
		return doc.Errorf("policy.spread", "%v is negative", p.Spread)
	case p.MaxLong < 0:
		return doc.Errorf("policy.max-long", "%d is negative", p.MaxLong)
	}
	return nil
}
