package fwagt_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/fwagt"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/platform"
)

// replyTimeout is the time in which a delegate answers also on a busy machine.
const replyTimeout = 10 * time.Second

var clusterKeys = keyset.Set{ClusterKey: bytes.Repeat([]byte{7}, keyset.KeyLength)}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// runAgent runs an agent until the test ends and returns its address and metrics.
func runAgent(t *testing.T) (netip.AddrPort, *metric.Set) {
	t.Helper()
	log, metrics := slog.New(slog.NewTextHandler(io.Discard, nil)), metric.New()
	self := roster.Member{Address: freeAddress(t), Role: roster.Agent, Service: "svc", Domain: "a", Incarnation: 1}
	plane, err := ctrl.Listen(ctrl.Options{Self: self, Keys: clusterKeys, Log: log, Metrics: metrics})
	if err != nil {
		t.Fatal(err)
	}
	agent, err := fwagt.Listen(fwagt.Options{
		Log: log, Metrics: metrics, Control: plane, PacketCodec: platform.PacketCodec{}, Keys: clusterKeys, Service: "svc",
		Upstream: freeAddress(t), Outbound: freeAddress(t), CallerPort: 9,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = agent.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return self.Address, metrics
}

// TestADelegateAsksOthersAndItself sends a DelegatedQuery to an agent over loopback.
func TestADelegateAsksOthersAndItself(t *testing.T) {
	delegate, metrics := runAgent(t)
	other, _ := runAgent(t)
	absent := freeAddress(t)

	balancer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer balancer.Close()
	asked := fwdmsg.Delegation{
		Agents:    []flow.Endpoint{flow.EndpointOf(delegate), flow.EndpointOf(other), flow.EndpointOf(absent)},
		Questions: []fwdmsg.Question{{Key: flow.Key{Service: flow.EndpointOf(other)}}},
	}
	e := fwdmsg.Envelope{
		Kind: fwdmsg.DelegatedQuery, QueryID: 5, Balancer: flow.EndpointOf(balancer.LocalAddr().(*net.UDPAddr).AddrPort()),
	}
	codec := fwdmsg.New(clusterKeys)
	if _, err := balancer.WriteToUDPAddrPort(codec.Append(nil, &e, fwdmsg.AppendDelegation(nil, asked.Agents, fwdmsg.AppendQuestions(nil, asked.Questions))), delegate); err != nil {
		t.Fatal(err)
	}

	buffer := make([]byte, ctrl.MaxDatagram)
	if err := balancer.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		t.Fatal(err)
	}
	count, err := balancer.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	reply, payload, err := codec.Open(buffer[:count])
	if err != nil {
		t.Fatal(err)
	}
	if reply.Kind != fwdmsg.DelegatedReply || reply.QueryID != 5 || reply.Agent != flow.EndpointOf(delegate) {
		t.Errorf("got %+v", reply)
	}
	replies, err := fwdmsg.ParseDelegatedReplies(payload, 3, 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]bool{true, true, false}, replies.Answered); diff != "" {
		t.Error(diff)
	}
	if got := testutil.ToFloat64(metrics.Datagrams.WithLabelValues("delegated")); got != 1 {
		t.Errorf("%v delegated queries were counted", got)
	}
}
