package h3agt_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/quic-go/quic-go"

	"github.com/coriandershift/coriandershift/internal/standin/fabric"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

func greet(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "hello")
}

func TestAnswerIsWhole(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 3<<20))
	}))
	if status, _, body := s.do(s.client(), s.request("GET", "/big", "", nil)); status != 200 || len(body) != 3<<20 {
		t.Errorf("got status %d with %d bytes", status, len(body))
	}
}

func TestFullAgentForwardsRequests(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 1)
	blocked := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		greet(w, r)
	})
	s := newSystemWith(t, systemOptions{limits: func(l *config.Limits) { l.Slots, l.ColdSlots, l.Queue = 1, 1, 0 }}, blocked, http.HandlerFunc(greet))
	s.waitForPeers(2)
	defer close(release)

	// Each flow goes to a random agent. The first request that reaches the blocked
	// upstream takes its only slot.
	full := false
	for !full {
		client := s.client()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			if response, err := client.Do(s.request("GET", "/x", "", nil)); err == nil {
				response.Body.Close()
			}
		}()
		select {
		case <-started:
			full = true
		case <-answered:
		}
	}

	for range 12 {
		if status, outcome, body := s.do(s.client(), s.request("POST", "/x", "", strings.NewReader("x"))); status != 200 {
			t.Errorf("got status %d, outcome %q, %q although a peer had room", status, outcome, body)
		}
	}
}

func TestRequestsOfALostUpstreamGoToItsPeers(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(greet), http.HandlerFunc(greet))
	s.waitForPeers(2)
	var clients []*http.Client
	for range 8 {
		client := s.client()
		s.do(client, s.request("GET", "/x", "", nil))
		clients = append(clients, client)
	}
	s.upstreams[0].Close()
	for i, client := range append(clients, s.client()) {
		if status, outcome, body := s.do(client, s.request("POST", "/x", fmt.Sprint(i), strings.NewReader("x"))); status != 200 {
			t.Errorf("flow %d got status %d, outcome %q, %q although a peer's upstream works", i, status, outcome, body)
		}
	}
}

func TestBadDatagramsChangeNothing(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(greet))
	client := s.client()
	s.do(client, s.request("GET", "/x", "", nil))

	random := rand.New(rand.NewPCG(1, 2))
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, to := range []netip.AddrPort{s.service, s.balancers[0].address, s.agents[0].address} {
		for length := range 300 {
			datagram := make([]byte, length*5)
			for i := range datagram {
				datagram[i] = byte(random.Uint32())
			}
			if _, err := conn.WriteTo(datagram, net.UDPAddrFromAddrPort(to)); err != nil && length < 200 {
				t.Fatal(err)
			}
		}
	}
	if status, _, body := s.do(client, s.request("GET", "/x", "", nil)); status != 200 || body != "hello" {
		t.Errorf("got status %d, %q", status, body)
	}
	for name, set := range map[string]*metric.Set{"balancer": s.balancers[0].metrics, "agent": s.agents[0].metrics} {
		if testutil.CollectAndCount(set.DroppedDatagrams) == 0 {
			t.Errorf("the %s counted no dropped datagrams", name)
		}
	}
}

func TestCallersThatProveTheirAddressAreServed(t *testing.T) {
	s := newSystemWith(t, systemOptions{alwaysRetry: true}, http.HandlerFunc(greet), http.HandlerFunc(greet))
	for range 4 {
		if status, _, body := s.do(s.client(), s.request("GET", "/x", "", nil)); status != 200 || body != "hello" {
			t.Errorf("got status %d, %q", status, body)
		}
	}
}

func TestReplacedAgentResetsOldFlowsAtOnce(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(greet))
	client := s.client()
	s.do(client, s.request("GET", "/x", "", nil))

	// The agent crashes: its socket is closed first, so that it can announce nothing.
	oldAgent := s.agents[0]
	oldAgent.control.Conn().Close()
	oldAgent.stop()
	<-oldAgent.done
	started := make(chan struct{})
	go func() {
		s.addAgent(oldAgent.address, freeUDPAddress(t), "d2")
		close(started)
	}()
	<-started

	_, err := client.Do(s.request("POST", "/x", "", strings.NewReader("x")))
	var reset *quic.StatelessResetError
	if !errors.As(err, &reset) {
		t.Errorf("got %v, want a stateless reset", err)
	}
}

func TestLeavingAgentDoesNotTruncateAnswers(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/feeds/") {
			fmt.Fprintln(w, "first")
			w.(http.Flusher).Flush()
			started <- struct{}{}
			<-release
			fmt.Fprintln(w, "last")
			return
		}
		fmt.Fprint(w, "hello")
	})
	s := newSystem(t, slow, slow)
	client := s.client()
	response, err := client.Do(s.request("GET", "/feeds/1", "", nil))
	if err != nil {
		t.Fatal(err)
	}
	<-started

	for _, p := range s.agents {
		p.control.Leave() // any of them may have the feed
	}
	for _, p := range s.agents {
		p.stop()
	}
	s.waitFor("the balancers to see that all agents leave", func() bool {
		return s.balancers[0].countOpenAgents()+s.balancers[1].countOpenAgents() == 0
	})
	close(release)
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "first\nlast\n" {
		t.Errorf("the feed was truncated: %q, %v", body, err)
	}
}

func TestAnswersAreWholeOverABadNetwork(t *testing.T) {
	block := make([]byte, 300_000)
	faults := fabric.Faults{Loss: 0.03, Duplicate: 0.03, Delay: 4 * time.Millisecond}
	s := newSystemWith(t, systemOptions{faults: faults}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(block)
	}))

	var callers sync.WaitGroup
	for range 6 {
		client := s.client()
		callers.Go(func() {
			if status, _, body := s.do(client, s.request("GET", "/reports/1", "", nil)); status != 200 || len(body) != len(block) {
				t.Errorf("got status %d with %d bytes", status, len(body))
			}
		})
	}
	callers.Wait()
}

// slowFeed is an upstream that sends a number of lines, one every 50 ms.
func slowFeed(lines int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := range lines {
			fmt.Fprintf(w, "task %d\n", i)
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func TestFlowSurvivesChangesOfTheCallersAddress(t *testing.T) {
	const lines = 40
	s := newSystem(t, slowFeed(lines))
	response, err := s.client().Do(s.request("GET", "/feeds/1", "", nil))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		s.fabric.Rebind()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || strings.Count(string(body), "\n") != lines {
		t.Errorf("the feed was truncated: %d lines, %v", strings.Count(string(body), "\n"), err)
	}
}

func TestFlowSurvivesTheStopOfEachBalancer(t *testing.T) {
	const lines = 60
	s := newSystem(t, slowFeed(lines))
	response, err := s.client().Do(s.request("GET", "/feeds/1", "", nil))
	if err != nil {
		t.Fatal(err)
	}

	// The first balancer stops without withdrawing, a new one joins, and then the
	// second leaves as planned.
	first, second := s.balancers[0], s.balancers[1]
	first.stop()
	<-first.done
	first.healthy.Store(false)
	time.Sleep(time.Second)
	s.balancers = s.balancers[1:]
	s.addBalancer(first.frontend)
	first.healthy.Store(true) // the fabric still checks this frontend at the first balancer's health URL
	time.Sleep(500 * time.Millisecond)
	second.healthy.Store(false)
	second.control.Leave()
	time.Sleep(500 * time.Millisecond)
	second.stop()

	body, err := io.ReadAll(response.Body)
	if err != nil || strings.Count(string(body), "\n") != lines {
		t.Errorf("the feed was truncated: %d lines, %v", strings.Count(string(body), "\n"), err)
	}
}

func TestTakingADomainOutResetsOnlyItsFlows(t *testing.T) {
	release := make(chan struct{})
	namedUpstream := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintln(w, name)
			if strings.HasPrefix(r.URL.Path, "/feeds/") {
				w.(http.Flusher).Flush()
				select {
				case <-release:
				case <-r.Context().Done():
				}
			}
		})
	}
	s := newSystem(t, namedUpstream("d2"), namedUpstream("d3"))
	feeds := map[string]*bufio.Reader{}
	for len(feeds) < 2 {
		response, err := s.client().Do(s.request("GET", "/feeds/1", "", nil))
		if err != nil {
			t.Fatal(err)
		}
		feed := bufio.NewReader(response.Body)
		name, err := feed.ReadString('\n')
		if err != nil || (name != "d2\n" && name != "d3\n") {
			t.Fatalf("a feed began with status %d, %q, %v", response.StatusCode, name, err)
		}
		if feeds[name] != nil {
			response.Body.Close() // an upstream takes few feeds at once
			continue
		}
		feeds[name] = feed
	}

	s.applyConfig(func(c *config.Config) { c.Domains[1].Out = true })
	ended := make(chan error, 1)
	go func() {
		_, err := feeds["d2\n"].ReadString('\n')
		ended <- err
	}()
	select {
	case err := <-ended:
		var reset *quic.StatelessResetError
		if !errors.As(err, &reset) {
			t.Errorf("a flow in the domain that is out got %v, want a stateless reset", err)
		}
	case <-time.After(pollTimeout):
		t.Error("a flow in the domain that is out was not reset in time")
	}

	if _, _, got := s.do(s.client(), s.request("GET", "/x", "", nil)); got != "d3\n" {
		t.Errorf("a new flow was answered by %q, want d3", got)
	}
	close(release)
	if _, err := feeds["d3\n"].ReadString('\n'); err != io.EOF {
		t.Errorf("a flow of another domain ended with %v", err)
	}
}

func TestAgentAtItsConnectionLimitForwardsFlows(t *testing.T) {
	const connections = 4
	agents := []http.Handler{http.HandlerFunc(greet), http.HandlerFunc(greet), http.HandlerFunc(greet)}
	s := newSystemWith(t, systemOptions{limits: func(l *config.Limits) { l.Connections = connections }}, agents...)

	for i := range connections * len(agents) {
		client := s.client()
		for range 3 {
			if status, _, body := s.do(client, s.request("GET", "/x", "", nil)); status != 200 || body != "hello" {
				t.Errorf("flow %d got status %d, %q", i, status, body)
			}
		}
	}
	for _, p := range s.agents {
		if dropped := testutil.ToFloat64(p.metrics.DroppedDatagrams.WithLabelValues("encapKind")); dropped > 0 {
			t.Errorf("agent %s got %.0f answers, which only balancers handle", p.address, dropped)
		}
	}
}
