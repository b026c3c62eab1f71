package setup_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/setup"
)

const validForward = `// An agent.
{
  "name": "agent-1",
  "domain": "south-1",
  "address": "127.0.30.1:7720",
  "metrics": "127.0.30.1:9464",
  "store": "127.0.50.1:8169",
  "seeds": ["127.0.20.1:8166"],
  "clusterKey": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
  "agent": {
    "service": "claims",
    "upstream": "127.0.30.1:8165",
    "outbound": "127.0.30.1:8162",
    "announcements": "127.0.30.1:8166",
    "callers": "127.0.30.1:8172",
  },
}
`

func TestParseForward(t *testing.T) {
	f, err := setup.ParseForward("a.hujson", []byte(validForward))
	if err != nil {
		t.Fatal(err)
	}
	if f.Agent.Callers.Port() != 8172 || time.Duration(f.Agent.Drain) != 4500*time.Millisecond || len(f.Keys().ClusterKey) != 32 {
		t.Errorf("got %+v", f.Agent)
	}
}

func TestLinkRateIsInBytesPerSecond(t *testing.T) {
	f, err := setup.ParseForward("a.hujson", []byte(strings.Replace(validForward, `"name"`, `"linkMbps": 10, "name"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got := f.LinkRate(); got != 1_250_000 {
		t.Errorf("got %d bytes per second", got)
	}
}

func TestParseForwardErrorNamesFileLineAndField(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown field":      {`"name"`, `"nmae"`, []string{"a.hujson:3: nmae: unknown field"}},
		"several at once":    {`"name"`, `"store": "x", "nmae"`, []string{"nmae: unknown field", "store: duplicate field"}},
		"missing field":      {`"service": "claims",`, "", []string{"agent.service: must be set"}},
		"short key":          {"000102", "", []string{"a.hujson:9: clusterKey: must be 64 hexadecimal digits"}},
		"key is no number":   {"000102", "xyz102", []string{"clusterKey: must be 64 hexadecimal digits"}},
		"address by name":    {"127.0.50.1:8169", "store:8169", []string{"store"}},
		"IPv6 address":       {"127.0.30.1:8165", "[::1]:8165", []string{"a.hujson:12: agent.upstream: must be an IPv4 address and port"}},
		"address used twice": {"127.0.30.1:8162", "127.0.30.1:7720", []string{"agent.outbound: must differ from address"}},
		"negative duration":  {`"service"`, `"drain": "-1s", "service"`, []string{"agent.drain: must not be negative"}},
		"no unit":            {`"service"`, `"drain": 5, "service"`, []string{"agent.drain", "needs a unit"}},
		"negative rate":      {`"name"`, `"linkMbps": -1, "name"`, []string{"linkMbps: must not be negative"}},
		"neither role":       {`"agent"`, `"agnet"`, []string{"agnet: unknown field", "exactly one of balancer and agent"}},
		"unknown level":      {`"name"`, `"logLevel": "loud", "name"`, []string{"logLevel: must be"}},
		"empty":              {validForward, "", []string{"a.hujson"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := setup.ParseForward("a.hujson", []byte(strings.Replace(validForward, test.old, test.new, 1)))
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

// TestDeployedTemplates checks that the deployed templates, filled in, are valid settings.
func TestDeployedTemplates(t *testing.T) {
	placeholder := regexp.MustCompile(`{{[^}]*}}`)
	for _, role := range []string{"balancer", "agent"} {
		t.Run(role, func(t *testing.T) {
			template, err := os.ReadFile("../../../deploy/" + role + ".hujson")
			if err != nil {
				t.Fatal(err)
			}
			text := regexp.MustCompile(`{{#seeds}}.*{{/seeds}}`).ReplaceAllString(string(template), `"10.1.0.1:8166"`)
			port := 8000
			text = placeholder.ReplaceAllStringFunc(text, func(name string) string {
				switch name {
				case "{{ip}}":
					return "10.1.0.9"
				case "{{internalPortRange.0}}":
					return "7720"
				case "{{limits.linkMbps}}":
					return "10.0"
				case "{{#limits.linkMbps}}", "{{/limits.linkMbps}}":
					return ""
				case "{{nodeName}}", "{{zone}}", "{{service}}":
					return "a-name"
				}
				port++
				return "10.1.0.9:" + string([]byte{'8', byte('0' + port/100%10), byte('0' + port/10%10), byte('0' + port%10)})
			})
			f, err := setup.ParseForward(role, []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if got := f.LinkRate(); got != 1_250_000 {
				t.Errorf("the link has %d bytes per second, want 1250000", got)
			}
		})
	}
}

func FuzzParseForward(f *testing.F) {
	f.Add([]byte(validForward))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = setup.ParseForward("fuzz", data) // must not panic
	})
}
