package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coriandershift/coriandershift/platform/standin"
)

// Ports are the same on all machines, each of which has a loopback address of its own.
const (
	internalPort = 7720
	datagramPort = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	metricsPort  = 9464
)

// restartDelay is the time between the end of a process and its next start. On the bench it
// is about as long.
const restartDelay = 780 * time.Millisecond

// machine is a machine with one process of the system; a side machine also has a server.
type machine struct {
	name, class, zone, service string
	ip                         netip.Addr
	process                    *exec.Cmd
	exited                     chan struct{}
	server                     *server
	path                       *proxy     // to the store; nil for a direct one
	advertised                 netip.Addr // at which other machines reach the process, if not ip
}

// reached returns the address at which other machines reach the process.
func (m *machine) reached() netip.Addr {
	if m.advertised.IsValid() {
		return m.advertised
	}
	return m.ip
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	folder     string // of the settings and logs
	subnet     byte
	claim      net.Listener
	store      *standin.Store
	machines   []*machine
	routers    *routers
	beforeLate func()
	clients    []*client
	log        *record
	late       []*machine // started after all others, once beforeLate returns
	enough     int        // fronts that have to be in rotation, all if 0
	mu         sync.Mutex // held while a process starts, or all are ended
}

// maxRunTime limits the run of a case.
const maxRunTime = 115 * time.Second

// newFleet returns a fleet without machines. Its settings and logs are in a temporary folder.
func newFleet(log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, store: standin.NewStore(), log: log}
	for i := range 200 {
		f.subnet = byte(10 + (os.Getpid()+i)%200)
		if f.claim, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.253:%d", f.subnet, internalPort)); err == nil {
			f.guard()
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) ip(group, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(group), byte(1 + index)})
}

func (f *fleet) ofClass(class string) []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) addFront(zone string) {
	n := len(f.ofClass("front"))
	f.machines = append(f.machines, &machine{name: fmt.Sprintf("front-%s-%d", zone, n+1), class: "front", zone: zone, ip: f.ip(1, n)})
}

func (f *fleet) addSide(zone, service string) *machine {
	n := len(f.ofClass("side"))
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, n+1), class: "side", zone: zone, service: service, ip: f.ip(2, n)}
	f.machines = append(f.machines, m)
	return m
}

// settings returns the settings of a machine: the template of the deploy file, filled in.
func (f *fleet) settings(m *machine) (string, error) {
	template, err := os.ReadFile("deploy/" + map[string]string{"front": "balancer", "side": "agent"}[m.class] + ".hujson")
	if err != nil {
		return "", err
	}
	store := f.store.Address()
	if m.path != nil {
		store = m.path.address()
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "ip": m.ip.String(), "platform.address": store.String(),
		"internalPortRange.0": fmt.Sprint(internalPort), "service": m.service, "app": m.at(appPort).String(),
		"listen.datagramAddr": m.at(datagramPort).String(), "listen.readyAddr": m.at(readyPort).String(),
		"listen.outbound": m.at(outboundPort).String(), "listen.control": m.at(controlPort).String(), "limits.linkMbps": "1000",
	}
	var seeds []string
	for _, front := range f.ofClass("front")[:min(3, len(f.ofClass("front")))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(front.reached(), controlPort)))
	}
	text := regexp.MustCompile(`{{#seeds}}.*{{/seeds}}`).ReplaceAllString(string(template), strings.Join(seeds, ", "))
	if m.advertised.IsValid() {
		addresses := fmt.Sprintf(`"address": "%s:%d", "listen": "%s:%d",`, m.advertised, internalPort, m.ip, internalPort)
		text = strings.Replace(text, `"address": "{{ip}}:{{internalPortRange.0}}",`, addresses, 1)
	}
	text = regexp.MustCompile(`{{[#/]limits.linkMbps}}`).ReplaceAllString(text, "")
	return regexp.MustCompile(`{{[^}]*}}`).ReplaceAllStringFunc(text, func(name string) string {
		return values[strings.Trim(name, "{}")]
	}), nil
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	text, err := f.settings(m)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, m.name+".hujson")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.process = exec.Command("target/coriandershift-forward", map[string]string{"front": "balancer", "side": "agent"}[m.class])
	m.process.Env = append(os.Environ(), "CORIANDERSHIFT_SETTINGS="+path)
	m.process.Stdout, m.process.Stderr = out, out
	if err := m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	go func() {
		_ = process.Wait() // an end by a signal counts as an error
		close(exited)
	}()
	return nil
}

// graceTime is graceS of the settings in DEPLOY.md.
const graceTime = 6 * time.Second

// restart stops a process with SIGTERM, or SIGKILL after graceTime, and starts it again.
func (f *fleet) restart(m *machine) error {
	f.log.printf("stop %s", m.name)
	_ = m.process.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		_ = m.process.Process.Kill()
		<-m.exited
	}
	time.Sleep(restartDelay)
	f.log.printf("start %s", m.name)
	return f.start(m)
}

// rollTerm restarts machines one after the other: the next one is stopped a gap after the
// one before, but not before that has started again.
func (f *fleet) rollTerm(machines []*machine, gap time.Duration) error {
	for _, m := range machines {
		next := time.After(gap)
		if err := f.restart(m); err != nil {
			return err
		}
		<-next
	}
	return nil
}

// startAll starts all processes, servers and clients, and waits until all fronts are in
// rotation. It reports false if they are not after some seconds.
func (f *fleet) startAll(clientsPerZone int, prepare func(s *server)) (bool, error) {
	var fronts []*front
	zones := map[string]bool{}
	order := slices.DeleteFunc(slices.Clone(f.machines), func(m *machine) bool { return slices.Contains(f.late, m) })
	for i, m := range append(order, f.late...) {
		if i == len(order) {
			f.beforeLate()
		}
		if err := f.start(m); err != nil {
			return false, err
		}
		if m.class == "front" {
			fronts = append(fronts, &front{datagram: m.at(datagramPort), ready: m.at(readyPort), zone: m.zone})
			continue
		}
		m.server = &server{
			name: "i-" + m.name, service: m.service, zone: m.zone, app: m.at(appPort), outbound: m.at(outboundPort),
			control: m.at(controlPort), work: 20 * time.Millisecond, slots: 5,
		}
		prepare(m.server)
		if err := startServer(m.server); err != nil {
			return false, err
		}
	}
	f.routers = startRouters(fronts)
	for _, m := range f.ofClass("front") {
		if zones[m.zone] {
			continue
		}
		zones[m.zone] = true
		for range clientsPerZone {
			c, err := startClient(f.ip(3, len(f.clients)), m.zone, datagramPort, f.routers)
			if err != nil {
				return false, err
			}
			f.clients = append(f.clients, c)
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n := f.routers.inRotation(); n == len(fronts) || (f.enough > 0 && n >= f.enough) {
			time.Sleep(2 * time.Second) // heartbeats of all servers have arrived
			return true, nil
		}
	}
	return false, nil
}

// guard ends the processes and the driver if it is told to stop or has run for too long.
func (f *fleet) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		f.log.printf("could not run: stopped")
		f.mu.Lock()
		for _, m := range f.machines {
			if m.process != nil {
				_ = m.process.Process.Kill() // fails only if it has ended
			}
		}
		os.Exit(2)
	}()
}

// close ends everything that was started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routers != nil {
		close(f.routers.done)
	}
	var all sync.WaitGroup
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Process.Kill() // fails only if it has ended
			all.Add(1)
			go func() { defer all.Done(); <-m.exited }()
		}
		if m.server != nil && m.server.conn != nil {
			m.server.stop()
		}
	}
	all.Wait()
	for _, c := range f.clients {
		c.conn.Close()
	}
	f.store.Close()
	f.claim.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}
