package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/settings"
)

const validSettings = `name: vm-1
data-centre: dc-a
callers: 127.0.0.1:8001
peers: 127.0.0.1:9001
operators: 127.0.0.1:7001
platform: http://127.0.0.1:6000
keys:
  certificate: KEYS/vm-1.pem
  key: KEYS/vm-1-key.pem
  authority: KEYS/authority.pem
`

func writeKeyFiles(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"vm-1.pem", "vm-1-key.pem", "authority.pem"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestParse(t *testing.T) {
	dir := writeKeyFiles(t)
	s, err := settings.Parse("s.yaml", []byte(strings.ReplaceAll(validSettings, "KEYS", dir)+"timing: {lease: 20s}\n"))
	if err != nil {
		t.Fatal(err)
	}
	got := []any{s.CallersURL, s.PeerAddress, s.Timing.Lease, s.Timing.Heartbeat}
	want := []any{"http://127.0.0.1:8001", "127.0.0.1:9001", 20 * time.Second, settings.Default().Timing.Heartbeat}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseNamesFileLineAndKey(t *testing.T) {
	dir := writeKeyFiles(t)
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "platform:", "plattform:", `s.yaml:6: key "plattform"`},
		{"missing key file", "authority.pem", "missing.pem", `s.yaml:10: key "keys.authority"`},
		{"address without port", "callers: 127.0.0.1:8001", "callers: 127.0.0.1", `s.yaml:3: key "callers"`},
		{"host name", "peers: 127.0.0.1:9001", "peers: localhost:9001", `s.yaml:4: key "peers"`},
		{"bad name", "name: vm-1", "name: VM_1", `s.yaml:1: key "name"`},
		{"bad URL", "http://127.0.0.1:6000", "127.0.0.1:6000", `s.yaml:6: key "platform"`},
		{"negative duration", "data-centre:", "timing: {lease: -1s}\ndata-centre:", `s.yaml:2: key "timing.lease"`},
		{"short failure timeout", "data-centre:", "timing: {failure-timeout: 600ms}\ndata-centre:", `s.yaml:2: key "timing.failure-timeout"`},
		{"lease under two renew intervals", "data-centre:", "timing: {lease: 6s}\ndata-centre:", `s.yaml:2: key "timing.lease"`},
		{"wrong type", "data-centre:", "limits: {attempts: many}\ndata-centre:", `s.yaml:2: key "many"`},
		{"zero limit", "data-centre:", "limits: {attempts: 0}\ndata-centre:", `s.yaml:2: key "limits.attempts"`},
		{"unknown order", "data-centre:", "policy: {order: random}\ndata-centre:", `s.yaml:2: key "policy.order"`},
		{"share over one", "data-centre:", "policy: {long-share: 1.5}\ndata-centre:", `s.yaml:2: key "policy.long-share"`},
		{"bad seed", "data-centre:", "seeds: ['127.0.0.1:9001', nowhere]\ndata-centre:", `s.yaml:2: key "seeds[1]"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.ReplaceAll(strings.Replace(validSettings, tt.old, tt.new, 1), "KEYS", dir)
			_, err := settings.Parse("s.yaml", []byte(text))
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("error is %v; want it to begin with %s", err, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("timing: {lease: 1}"))
	f.Add([]byte("policy: [1, 2"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = settings.Parse("s.yaml", data) })
}
