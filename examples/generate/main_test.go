package main

import (
	"os"
	"path/filepath"
	"testing"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/standin/backend"
	"guavapoint.example/guavapoint/internal/standin/certs"
	"guavapoint.example/guavapoint/internal/standin/load"
)

// readDocument reads and parses a configuration document.
func readDocument(t *testing.T, name string) *config.Document {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := config.Parse(data)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return doc
}

// Guards against committed settings files that differ from those generated from the table.
func TestSettingsAreGenerated(t *testing.T) {
	dir := t.TempDir()
	if err := writeSettings(dir); err != nil {
		t.Fatal(err)
	}
	for _, d := range deployments {
		names, err := filepath.Glob(filepath.Join("..", d.name, "settings", "*.json"))
		if err != nil || len(names) != len(d.allSettings()) {
			t.Errorf("%s: %d files for %d daemons", d.name, len(names), len(d.allSettings()))
		}
		for _, name := range names {
			got, _ := os.ReadFile(name)
			want, err := os.ReadFile(filepath.Join(dir, d.name, "settings", filepath.Base(name)))
			if err != nil || string(got) != string(want) {
				t.Errorf("%s differs from the table; run go generate ./examples/generate", name)
			}
		}
	}
}

// Guards against settings that a daemon rejects, and against two processes with the same address.
func TestSettingsAreValid(t *testing.T) {
	dir := t.TempDir()
	if err := writeSettings(dir); err != nil {
		t.Fatal(err)
	}
	used := make(map[string]string)
	for _, d := range deployments {
		authority, err := certs.NewAuthority(filepath.Join(dir, d.name, "tls"))
		if err != nil {
			t.Fatal(err)
		}
		for name := range d.allSettings() {
			if _, err := authority.Issue(name); err != nil {
				t.Fatal(err)
			}
			s, err := settings.Load(filepath.Join(dir, d.name, "settings", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range []string{s.PeerAddress, s.CallAddress, s.AdminAddress, s.Backend.URL[len("http://"):]} {
				if other := used[a]; other != "" {
					t.Errorf("%s and %s use %s", name, other, a)
				}
				used[a] = name
			}
		}
	}
}

// callDepth returns the number of services in the longest call chain that begins with an operation. The test fails if a
// call goes to a route that doesn't exist.
func callDepth(t *testing.T, backends map[string]backend.Config, service, method, path string) int {
	t.Helper()
	for _, r := range backends[service].Routes {
		if r.Method != method || r.Path != path {
			continue
		}
		deepest := 0
		for _, c := range r.Calls {
			deepest = max(deepest, callDepth(t, backends, c.Service, c.Method, c.Path))
		}
		return deepest + 1
	}
	t.Errorf("%s has no route %s %s", service, method, path)
	return 0
}

// Guards against inconsistent examples: invalid configuration documents or load mixes, operations without a route,
// routes without an operation, calls that the settings don't list, call chains that are all shorter than 4 services,
// important operations that aren't critical or are marked idempotent, and equal presets.
func TestDeploymentsFitTogether(t *testing.T) {
	important := map[string]bool{"transfer": true, "allocation": true, "crossing-booking": true}
	for _, d := range deployments {
		dir := filepath.Join("..", d.name)
		backends := make(map[string]backend.Config)
		doc := readDocument(t, filepath.Join(dir, "config.json"))
		p := doc.Presets
		if p["ordinary"] == p["peak"] || p["peak"] == p["maintenance"] || p["ordinary"] == p["maintenance"] {
			t.Errorf("%s: two presets are equal", d.name)
		}
		routes, deepest := 0, 0 // routes without an operation; length of the longest call chain
		for _, s := range d.services {
			backends[s.name] = checkBackend(t, filepath.Join(dir, "backends", s.name+".json"), s)
			routes += len(backends[s.name].Routes)
		}
		for service, o := range doc.Services {
			for _, op := range o.Operations {
				routes--
				deepest = max(deepest, callDepth(t, backends, service, op.Method, op.Path))
				if important[op.Name] && (op.Class != call.ClassCritical || op.Idempotent) {
					t.Errorf("%s: %s is %s, idempotent %v", d.name, op.Name, op.Class, op.Idempotent)
				}
			}
		}
		if routes != 0 || deepest < 4 {
			t.Errorf("%s: %d routes without an operation, %d services deep", d.name, routes, deepest)
		}
		data, err := os.ReadFile(filepath.Join(dir, "mix.json"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := load.ParseMix(data); err != nil {
			t.Error(err)
		}
	}
}

// checkBackend reads the configuration of a stand-in backend server and checks that it is valid and agrees with s.
func checkBackend(t *testing.T, name string, s service) backend.Config {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := backend.ParseConfig(data)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if cfg.Service != s.name || cfg.Slots != s.slots || cfg.Connections != s.connections {
		t.Errorf("%s: %s with %d slots and %d connections", name, cfg.Service, cfg.Slots, cfg.Connections)
	}
	for _, r := range cfg.Routes {
		for _, c := range r.Calls {
			if len(s.calls) != 1 || c.Service != s.calls[0] {
				t.Errorf("%s calls %s, which the settings don't list", name, c.Service)
			}
		}
	}
	cfg.Name, cfg.Daemon = "n", "127.0.0.1:1" // required by backend.New and not in the file
	if _, err := backend.New(cfg, backend.Options{}); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	return cfg
}
