package flow_test

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

func TestEndpointOf(t *testing.T) {
	tests := map[string]struct {
		address netip.AddrPort
		want    flow.Endpoint
	}{
		"IPv4":        {netip.MustParseAddrPort("192.0.2.7:443"), flow.Endpoint{IP: [4]byte{192, 0, 2, 7}, Port: 443}},
		"mapped IPv4": {netip.MustParseAddrPort("[::ffff:192.0.2.7]:443"), flow.Endpoint{IP: [4]byte{192, 0, 2, 7}, Port: 443}},
		"IPv6":        {netip.MustParseAddrPort("[2001:db8::1]:443"), flow.Endpoint{}},
		"none":        {netip.AddrPort{}, flow.Endpoint{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, flow.EndpointOf(test.address)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestKeyIsTheSameBothWays(t *testing.T) {
	caller := flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001}
	service := flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	forward := flow.Packet{Source: caller, Destination: service}
	back := flow.Packet{Source: service, Destination: caller}
	if diff := cmp.Diff(forward.KeyFromCaller(), back.KeyFromUpstream()); diff != "" {
		t.Error(diff)
	}

	key := forward.KeyFromCaller()
	if diff := cmp.Diff(key, flow.DecodeKey(key.Append(nil))); diff != "" {
		t.Error(diff)
	}
	if got, want := key.String(), "100.64.0.7:40001>198.18.0.1:443"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
