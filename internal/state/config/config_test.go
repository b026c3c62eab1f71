package config_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tailscale/hujson"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

func sampleConfig(t *testing.T) *config.Config {
	t.Helper()
	return loadConfig(t, "../../../examples/higieniza/config.hujson")
}

func loadConfig(t *testing.T, path string) *config.Config {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{Revision: 1}
	if err := json.Unmarshal(standard, cfg); err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestSampleConfigurationsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/config.hujson")
	if err != nil || len(files) != 2 {
		t.Fatalf("found %v, %v; want 2 files", files, err)
	}
	for _, file := range files {
		if err := loadConfig(t, file).Validate(); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func TestValidateRefuses(t *testing.T) {
	tests := map[string]func(*config.Config){
		"domain number twice":   func(c *config.Config) { c.Domains[1].Number = 1 },
		"domain without name":   func(c *config.Config) { c.Domains[0].Name = "" },
		"service twice":         func(c *config.Config) { c.Services[1].Name = c.Services[0].Name },
		"service number twice":  func(c *config.Config) { c.Services[1].Number = 1 },
		"service number large":  func(c *config.Config) { c.Services[1].Number = 1 << 24 },
		"address twice":         func(c *config.Config) { c.Services[1].Addresses = c.Services[0].Addresses },
		"address is a name":     func(c *config.Config) { c.Services[0].Addresses = []string{"example:1"} },
		"no address":            func(c *config.Config) { c.Services[0].Addresses = nil },
		"no slots":              func(c *config.Config) { c.Services[0].Limits.Slots = 0 },
		"coldSlots above slots": func(c *config.Config) { c.Services[0].Limits.ColdSlots = 6 },
		"no class":              func(c *config.Config) { c.Services[0].Classes = nil },
		"no timeout":            func(c *config.Config) { c.Services[0].Classes[0].Timeout = 0 },
		"no tenant":             func(c *config.Config) { c.Services[0].Tenant = "" },
	}
	for name, invalidate := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := sampleConfig(t)
			invalidate(cfg)
			if err := cfg.Validate(); !errors.Is(err, config.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

func TestApplyIsAllOrNothing(t *testing.T) {
	out := func(name string) config.Operation { return config.Operation{Verb: config.TakeOut, Name: name} }
	allOut := []config.Operation{out("south-1"), out("south-2"), out("south-3"), out("south-4")}
	tests := map[string]struct {
		change config.Change
		want   error
	}{
		"good":                  {config.Change{Operations: []config.Operation{out("south-1")}}, nil},
		"second one is bad":     {config.Change{Operations: []config.Operation{out("south-1"), out("nowhere")}}, config.ErrInvalid},
		"out already":           {config.Change{Operations: []config.Operation{out("south-1"), out("south-1")}}, config.ErrInvalid},
		"no domain left":        {config.Change{Operations: allOut}, config.ErrRefused},
		"no domain left, force": {config.Change{Operations: allOut, Force: true}, nil},
		"no operations":         {config.Change{}, config.ErrInvalid},
		"unknown verb":          {config.Change{Operations: []config.Operation{{Verb: "burn"}}}, config.ErrInvalid},
		"limits contradict":     {config.Change{Operations: []config.Operation{{Verb: config.SetLimit, Name: "checklists", Limit: "slots", Value: 1}}}, config.ErrInvalid},
		"unknown limit":         {config.Change{Operations: []config.Operation{{Verb: config.SetLimit, Name: "checklists", Limit: "luck", Value: 1}}}, config.ErrInvalid},
		"drain, then undrain":   {config.Change{Operations: []config.Operation{{Verb: config.Drain, Name: "a"}, {Verb: config.Undrain, Name: "a"}}}, nil},
		"undrain the undrained": {config.Change{Operations: []config.Operation{{Verb: config.Undrain, Name: "a"}}}, config.ErrInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cfg, before := sampleConfig(t), sampleConfig(t)
			next, err := cfg.Apply(test.change)
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if diff := cmp.Diff(before, cfg); diff != "" {
				t.Error("Apply changed its receiver: " + diff)
			}
			if err == nil && next.Revision != cfg.Revision+1 {
				t.Errorf("revision is %d", next.Revision)
			}
		})
	}
}

func TestJoinRestoresSplit(t *testing.T) {
	want := sampleConfig(t)
	parts := want.Split()
	got, err := config.Join(want.Revision, parts)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	parts[0].Data = append([]byte(" "), parts[0].Data...)
	if _, err := config.Join(1, parts); !errors.Is(err, config.ErrInvalid) {
		t.Errorf("a modified part was accepted: %v", err)
	}
}

func TestClassify(t *testing.T) {
	service, _ := sampleConfig(t).Service("checklists")
	tests := map[string]struct{ method, path, want string }{
		"submission":         {"POST", "/submissions/7", "submission"},
		"feed":               {"GET", "/feeds/kitchen", "feed"},
		"other method":       {"GET", "/submissions/7", "other"},
		"anything":           {"DELETE", "/x", "other"},
		"path without slash": {"GET", "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if class, _ := service.Classify(test.method, test.path); class.Name != test.want {
				t.Errorf("got %q, want %q", class.Name, test.want)
			}
		})
	}
}
