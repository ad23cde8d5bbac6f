package manifest_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/manifest"
)

const validConfig = `models:
- name: m
  version: "1"
deployments:
- name: gpu
  kind: engine
- name: app
  kind: plain
services:
- name: archive
  kind: plain
  deployment: app
  replicas: 1
  methods:
  - name: buy
- name: assistant
  kind: model
  model: m
  deployment: gpu
  replicas: 2
  depends-on: [archive]
workspaces:
- name: w
  key-sha256: "0000000000000000000000000000000000000000000000000000000000000000"
`

func TestParse(t *testing.T) {
	config, err := manifest.Parse("t.yaml", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	vms := []catkinspindle.VM{
		{Name: "e3", Deployment: "gpu"},
		{Name: "e1", Deployment: "gpu", Leaving: true},
		{Name: "e2", Deployment: "gpu"},
		{Name: "p1", Deployment: "app"},
	}
	var got []string
	for _, a := range config.Assign(vms) {
		got = append(got, a.Service+"="+a.VM.Name)
	}
	if diff := cmp.Diff([]string{"archive=p1", "assistant=e2", "assistant=e3"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseNamesFileLineAndKey(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "replicas: 1", "replica: 1", `t.yaml:13: key "replica"`},
		{"no version", `  version: "1"`, "", `t.yaml:2: key "models[0].version"`},
		{"unknown kind", "kind: plain", "kind: simple", `t.yaml:8: key "deployments[1].kind"`},
		{"unknown deployment", "deployment: gpu", "deployment: tpu", `t.yaml:19: key "services[1].deployment"`},
		{"unknown model", "model: m", "model: n", `t.yaml:18: key "services[1].model"`},
		{"unknown dependency", "[archive]", "[library]", `t.yaml:21: key "services[1].depends-on[0]"`},
		{"cycle", "[archive]", "[assistant]", `t.yaml:21: key "services[1].depends-on"`},
		{"zero replicas", "replicas: 2", "replicas: 0", `t.yaml:20: key "services[1].replicas"`},
		{"duplicate name", "- name: assistant", "- name: archive", `t.yaml:16: key "services[1].name"`},
		{"short key", `"0000`, `"00`, `t.yaml:24: key "workspaces[0].key-sha256"`},
		{"broken YAML", "models:", "models: [", `t.yaml`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := manifest.Parse("t.yaml", []byte(strings.Replace(validConfig, tt.old, tt.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("error is %v; want it to begin with %s", err, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("services: [{name: a, depends-on: [a]}]"))
	f.Add([]byte("workspaces: [{key-sha256: 12e4}]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		config, err := manifest.Parse("t.yaml", data)
		if err == nil {
			config.Assign([]catkinspindle.VM{{Name: "e", Deployment: "gpu"}})
		}
	})
}
