package steer_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	simDelay    = time.Millisecond // of each message
	simTickStep = 10 * time.Millisecond
)

var simCodec = fwdmsg.New(keyset.Set{ClusterKey: bytes.Repeat([]byte{7}, keyset.KeyLength)})

// findSim simulates balancers that search for flows among agents, in virtual time.
type findSim struct {
	t         *testing.T
	now       time.Time
	queue     []simEvent // ordered by at
	balancers []*simBalancer
	agents    map[flow.Endpoint]*simAgent
	random    *rand.Rand

	// lose reports whether the network loses a message; nil loses none. maxJitter is the
	// longest additional delay of a message.
	lose      func(from, to flow.Endpoint, kind fwdmsg.Kind) bool
	maxJitter time.Duration

	// chainDelay is the time after which the chain returns a packet, 0 if it does not. With
	// onTime, balancers tick when they ask for it instead of every simTickStep.
	chainDelay time.Duration
	onTime     bool
}

type simEvent struct {
	at  time.Time
	run func()
}

// simBalancer is a balancer, what it decided, and the use of its link by questions.
type simBalancer struct {
	self          flow.Endpoint
	router        *steer.Router
	found, gone   map[flow.Key]time.Time
	messages      int // questions and replies
	bytes         int // of them, with the headers of IP and UDP
	sent          map[fwdmsg.Kind]int
	questionBytes int // of bytes, those sent
}

// simAgent is an agent, and its upstream as far as packets are offered to it.
type simAgent struct {
	self      flow.Endpoint
	collector *fanout.Collector
	down      bool
	frozen    time.Time // messages wait until then
	old       bool      // of a version without delegated queries
	uncertain bool      // about all flows, until it is offered a packet
	holds     map[flow.Key]bool
	asked     map[flow.Key]int
}

// newFindSim returns a simulation of so many balancers, whose links have the given rate,
// and agents, from all of which the balancers have just heard.
func newFindSim(t *testing.T, balancerCount, agentCount, linkRate int) *findSim {
	fs := &findSim{t: t, now: start, agents: map[flow.Endpoint]*simAgent{}, random: rand.New(rand.NewPCG(1, 1))}
	members := fleetMembers(0, agentCount)
	for i := range members {
		members[i].Domain = string('a' + rune(i%3))
		e := fleetAgent(i)
		fs.agents[e] = &simAgent{self: e, collector: fanout.New(e, start), holds: map[flow.Key]bool{}, asked: map[flow.Key]int{}}
	}
	for i := range balancerCount {
		b := &simBalancer{
			self: endpoint(byte(1 + i)), found: map[flow.Key]time.Time{}, gone: map[flow.Key]time.Time{}, sent: map[fwdmsg.Kind]int{},
		}
		b.router = steer.New(b.self, "a", start.Add(-2*time.Minute), steer.WithLinkRate(linkRate))
		b.router.Configure(start, newConfig(1, "svc"))
		b.router.UpdateMembers(start, members)
		b.router.Tick(start)
		fs.balancers = append(fs.balancers, b)
		hearFrom(b.router, start, members)
	}
	return fs
}

// hearFrom gives a balancer a notice of each member.
func hearFrom(r *steer.Router, now time.Time, members []roster.Member) {
	for i := range members {
		p := opening(60000)
		r.HandleAgentMessage(now, noticeFrom(p, flow.EndpointOf(members[i].Address)), p.KeyFromCaller().Append(nil), parse)
	}
}

func (fs *findSim) schedule(at time.Time, run func()) {
	index, _ := slices.BinarySearchFunc(fs.queue, at, func(e simEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	fs.queue = slices.Insert(fs.queue, index, simEvent{at: at, run: run})
}

// run runs the simulation for a time in which all balancers and agents tick.
func (fs *findSim) run(d time.Duration) {
	for end := fs.now.Add(d); fs.now.Before(end); fs.now = fs.now.Add(simDelay) {
		for len(fs.queue) > 0 && !fs.queue[0].at.After(fs.now) {
			e := fs.queue[0]
			fs.queue = fs.queue[1:]
			e.run()
		}
		isStep := fs.now.Sub(start)%simTickStep == 0
		for _, b := range fs.balancers {
			due, pending := b.router.NextTick()
			if (fs.onTime && pending && !fs.now.Before(due)) || (!fs.onTime && isStep) {
				fs.perform(b, b.router.Tick(fs.now))
			}
		}
		if !isStep {
			continue
		}
		for _, a := range fs.agents {
			if !a.down && !fs.now.Before(a.frozen) {
				fs.performAgent(a, a.collector.Tick(fs.now))
			}
		}
	}
}

// lost gives a balancer a packet of a flow that it does not know, of which no agent of
// the chain answers.
func (fs *findSim) lost(b *simBalancer, port uint16) {
	fs.perform(b, b.router.HandleCallerPacket(fs.now, data(port)))
}

func (fs *findSim) perform(b *simBalancer, actions []steer.Action) {
	for _, a := range actions {
		switch {
		case a.Kind == steer.Reset:
			b.gone[a.Key] = fs.now
		case a.Reason == steer.Found:
			b.found[a.Key] = fs.now
		case a.Reason == steer.Lookup && fs.chainDelay > 0:
			returned, packet := returnedFrom(a.Envelope, a.To), bytes.Clone(a.Packet)
			if !fs.isBroken(&a) {
				fs.schedule(fs.now.Add(fs.chainDelay), func() { fs.deliverToBalancer(b, returned, packet) })
			}
		case a.Reason == steer.Offered:
			fs.send(b.self, a.To, &a.Envelope, bytes.Clone(a.Packet))
		case a.Kind == steer.Send && a.Envelope.Kind != fwdmsg.CallerPacket:
			b.count(&a.Envelope, a.Packet)
			b.sent[a.Envelope.Kind]++
			b.questionBytes += packetLength(&a.Envelope, a.Packet)
			fs.send(b.self, a.To, &a.Envelope, bytes.Clone(a.Packet))
		}
	}
}

// isBroken reports whether an agent of a packet's chain does not pass it on.
func (fs *findSim) isBroken(a *steer.Action) bool {
	for _, endpoint := range append([]flow.Endpoint{a.To}, a.Envelope.Ranks[:a.Envelope.RankCount]...) {
		if agent := fs.agents[endpoint]; agent.down || fs.now.Before(agent.frozen) {
			return true
		}
	}
	return false
}

func (fs *findSim) performAgent(a *simAgent, messages []fanout.Message) {
	for i := range messages {
		fs.send(a.self, messages[i].To, &messages[i].Envelope, messages[i].Payload)
	}
}

func (b *simBalancer) count(e *fwdmsg.Envelope, payload []byte) {
	b.messages++
	b.bytes += packetLength(e, payload)
}

func packetLength(e *fwdmsg.Envelope, payload []byte) int {
	return 28 + len(simCodec.Append(nil, e, payload))
}

func (fs *findSim) send(from, to flow.Endpoint, e *fwdmsg.Envelope, payload []byte) {
	if fs.lose != nil && fs.lose(from, to, e.Kind) {
		return
	}
	envelope, at := *e, fs.now.Add(simDelay)
	if fs.maxJitter > 0 {
		at = at.Add(time.Duration(fs.random.Int64N(int64(fs.maxJitter))))
	}
	if a := fs.agents[to]; a != nil {
		fs.schedule(at, func() { fs.deliverToAgent(a, &envelope, payload) })
		return
	}
	fs.schedule(at, func() {
		for _, b := range fs.balancers {
			if b.self == to {
				fs.deliverToBalancer(b, &envelope, payload)
			}
		}
	})
}

func (fs *findSim) deliverToBalancer(b *simBalancer, e *fwdmsg.Envelope, payload []byte) {
	if e.Kind == fwdmsg.Notice {
		b.found[flow.DecodeKey(payload)] = fs.now
	}
	b.count(e, payload)
	fs.perform(b, b.router.HandleAgentMessage(fs.now, e, payload, parse))
}

func (fs *findSim) deliverToAgent(a *simAgent, e *fwdmsg.Envelope, payload []byte) {
	if a.down {
		return
	}
	if fs.now.Before(a.frozen) {
		fs.schedule(a.frozen, func() { fs.deliverToAgent(a, e, payload) })
		return
	}
	switch e.Kind {
	case fwdmsg.CallerPacket:
		fs.takeOffer(a, e, payload)
	case fwdmsg.Query:
		questions, err := fwdmsg.ParseQuestions(payload)
		if err != nil {
			fs.t.Fatal(err)
		}
		reply := fwdmsg.Envelope{Kind: fwdmsg.QueryReply, QueryID: e.QueryID, Balancer: e.Balancer, Agent: a.self}
		fs.send(a.self, e.Balancer, &reply, a.statuses(questions))
	case fwdmsg.DelegatedQuery:
		asked, err := fwdmsg.ParseDelegation(payload)
		if err != nil {
			fs.t.Fatal(err)
		}
		if !a.old {
			messages, _ := a.collector.Start(fs.now, e, asked)
			fs.performAgent(a, messages)
		}
	case fwdmsg.QueryReply:
		fs.performAgent(a, a.collector.HandleReply(e, payload))
	}
}

// takeOffer delivers a packet of an unknown flow to the agent's upstream.
func (fs *findSim) takeOffer(a *simAgent, e *fwdmsg.Envelope, payload []byte) {
	p, err := parse(payload)
	if err != nil {
		fs.t.Fatal(err)
	}
	if !a.holds[p.KeyFromCaller()] {
		fs.send(a.self, e.Balancer, returnedFrom(*e, a.self), payload)
		return
	}
	notice, key := notice(&p, a.self)
	fs.send(a.self, e.Balancer, notice, key)
}

func (a *simAgent) statuses(questions []fwdmsg.Question) []byte {
	var statuses []byte
	for _, q := range questions {
		a.asked[q.Key]++
		status := fwdmsg.NotHeld
		switch {
		case a.uncertain:
			status = fwdmsg.Uncertain
		case a.holds[q.Key]:
			status = fwdmsg.Held
		}
		statuses = append(statuses, byte(status))
	}
	return statuses
}
