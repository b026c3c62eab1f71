package setup_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/setup"
)

const validSettings = `// A balancer.
{
  "name": "balancer-1",
  "domain": "south-1",
  "address": "127.0.20.1:7100",
  "metrics": "127.0.20.1:7102",
  "store": "http://127.0.50.1:2379",
  "keyFile": "keys",
  "peers": {"certFile": "cert", "keyFile": "key", "authorityFile": "authority"},
  "balancer": {
    "frontend": "127.0.20.1",
    "admin": "127.0.20.1:7101",
    "withdraw": "1s",
  },
}
`

// inTempDir changes to a temporary directory with empty files of the given names.
func inTempDir(t *testing.T, files ...string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for _, file := range files {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestParse(t *testing.T) {
	inTempDir(t, "keys", "cert", "key", "authority")
	s, err := setup.Parse("b.hujson", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(s.Balancer.Withdraw) != time.Second || s.Balancer.Admin.Port() != 7101 {
		t.Errorf("got %+v", s.Balancer)
	}
}

func TestParseErrorNamesFileLineAndField(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown field":       {`"name"`, `"nmae"`, []string{"b.hujson:3: nmae: unknown field"}},
		"several at once":     {`"name"`, `"store": "x", "nmae"`, []string{"b.hujson:3: nmae: unknown field", "store: duplicate field", "name: must be set"}},
		"unknown inner field": {`"admin"`, `"amdin"`, []string{"b.hujson:12: balancer.amdin: unknown field"}},
		"field twice":         {`"domain": "south-1"`, `"name": "x"`, []string{"b.hujson:4: name: duplicate field"}},
		"missing field":       {`"name": "balancer-1",`, "", []string{"name: must be set"}},
		"duration, no unit":   {`"1s"`, `5`, []string{"balancer.withdraw", "needs a unit"}},
		"wrong kind":          {`"south-1"`, `7`, []string{"b.hujson:4: domain: is a number"}},
		"address used twice":  {`"admin": "127.0.20.1:7101"`, `"admin": "127.0.20.1:7100"`, []string{"b.hujson:12: balancer.admin: must differ from address"}},
		"missing certificate": {`"certFile": "cert"`, `"certFile": "gone"`, []string{"b.hujson:9: peers.certFile: cannot be read"}},
		"store by name":       {"127.0.50.1:2379", "store.example", []string{"b.hujson:7: store: must be"}},
		"unknown level":       {`"name"`, `"logLevel": "loud", "name"`, []string{"logLevel: must be"}},
		"both roles":          {`"name"`, `"agent": {}, "name"`, []string{"exactly one of balancer and agent"}},
		"no JSON":             {`{`, ``, []string{"b.hujson"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inTempDir(t, "keys", "cert", "key", "authority")
			_, err := setup.Parse("b.hujson", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if err == nil {
				t.Fatal("bad settings were accepted")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

func TestSampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*-*.hujson")
	if err != nil || len(files) != 28 {
		t.Fatalf("found %d sample settings, %v; want 28", len(files), err)
	}

	texts := map[string][]byte{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		texts[file] = data
	}
	inTempDir(t, "certs/keys.hujson", "certs/peers.pem", "certs/peers.key", "certs/authority.pem", "certs/public.pem", "certs/public.key")
	for file, data := range texts {
		if _, err := setup.Parse(file, data); err != nil {
			t.Error(err)
		}
	}
}

func TestSizes(t *testing.T) {
	tests := map[string]struct {
		text string
		want setup.Size
		err  error
	}{
		"bytes":     {`"12B"`, 12, nil},
		"mebibytes": {`"16MiB"`, 16 << 20, nil},
		"no unit":   {`"16"`, 0, setup.ErrMissingUnit},
		"number":    {`16`, 0, setup.ErrMissingUnit},
		"negative":  {`"-1B"`, 0, setup.ErrMissingUnit},
		"overflow":  {`"9999999999999GiB"`, 0, setup.ErrMissingUnit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got setup.Size
			if err := got.UnmarshalJSON([]byte(test.text)); !errors.Is(err, test.err) || got != test.want {
				t.Errorf("got %d, %v; want %d, %v", got, err, test.want, test.err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"balancer": {"withdraw": 5}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = setup.Parse("fuzz", data) // must not panic
	})
}
