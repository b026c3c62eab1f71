package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coriandershift/coriandershift/platform/standin"
)

// Ports are the same on all machines. Each machine has a loopback address of its own.
const (
	internalPort = 7720
	datagramPort = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	metricsPort  = 9464
)

var started = time.Now()

var record struct {
	sync.Mutex
	file *os.File
}

// note writes a line to the record and to the standard output.
func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if record.file != nil {
		_, _ = record.file.WriteString(line)
	}
}

// vm is a machine with one process of the system.
type vm struct {
	name, role, zone, service string
	ip                        netip.Addr
	advertised                netip.Addr // where the other processes reach it, if a relay stands before it
	seeds                     []netip.Addr
	store                     netip.AddrPort // its way to the store, if not the direct one
	process                   *exec.Cmd
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// reachable returns the address at which the other processes reach the machine's.
func (v *vm) reachable() netip.Addr {
	if v.advertised.IsValid() {
		return v.advertised
	}
	return v.ip
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	folder string
	subnet byte
	claim  net.Listener
	store  *standin.Store
	vms    []*vm
	counts map[string]int
	relays *network // between the machines; nil if they reach each other directly
	flows  []*clientFlow
}

// keep records a flow that was opened and served.
func (f *fleet) keep(flow *clientFlow, err error) {
	if err != nil {
		note("a first request: %v", err)
		return
	}
	f.flows = append(f.flows, flow)
}

// start starts the process of a machine, with a relay in front of it if there are relays.
func (f *fleet) start(v *vm) error {
	if f.relays != nil {
		if err := f.relays.add(v); err != nil {
			return err
		}
	}
	return f.run(v)
}

func newFleet() (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, store: standin.NewStore(), counts: map[string]int{}}
	for i := range 200 {
		subnet := byte(20 + (os.Getpid()+i)%200)
		if f.claim, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.253:%d", subnet, internalPort)); err == nil {
			f.subnet = subnet
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) ip(group, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(group), byte(1 + index)})
}

// add adds a machine whose process is not started yet.
func (f *fleet) add(role, zone, service string) *vm {
	group := map[string]int{"balancer": 1, "agent": 2}[role]
	index := f.counts[role]
	f.counts[role]++
	class := map[string]string{"balancer": "front", "agent": "side"}[role]
	v := &vm{name: fmt.Sprintf("%s-%s-%d", class, zone, index+1), role: role, zone: zone, service: service, ip: f.ip(group, index)}
	if f.relays != nil {
		v.advertised = f.ip(group+4, index)
	}
	f.vms = append(f.vms, v)
	return v
}

// settings fills in the deployed template as the platform does.
func (f *fleet) settings(v *vm) (string, error) {
	template, err := os.ReadFile("deploy/" + v.role + ".hujson")
	if err != nil {
		return "", err
	}
	store := v.store
	if !store.IsValid() {
		store = f.store.Address()
	}
	values := map[string]string{
		"nodeName": v.name, "zone": v.zone, "ip": v.ip.String(), "internalPortRange.0": fmt.Sprint(internalPort),
		"platform.address": store.String(), "service": v.service, "app": v.at(appPort).String(),
		"listen.datagramAddr": v.at(datagramPort).String(), "listen.readyAddr": v.at(readyPort).String(),
		"listen.outbound": v.at(outboundPort).String(), "listen.control": v.at(controlPort).String(),
	}
	var seeds []string
	for _, s := range v.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s, controlPort)))
	}
	text := regexp.MustCompile(`{{#seeds}}.*{{/seeds}}`).ReplaceAllString(string(template), strings.Join(seeds, ", "))
	text = regexp.MustCompile(`{{#limits.linkMbps}}.*{{/limits.linkMbps}}`).ReplaceAllString(text, `"linkMbps": 1000.0,`)
	if v.advertised.IsValid() {
		text = strings.Replace(text, `"address": "{{ip}}:{{internalPortRange.0}}",`,
			fmt.Sprintf(`"address": "%s:%d", "listen": "%s:%d",`, v.advertised, internalPort, v.ip, internalPort), 1)
	}
	var unknown error
	text = regexp.MustCompile(`{{[^}]*}}`).ReplaceAllStringFunc(text, func(name string) string {
		value, known := values[strings.Trim(name, "{}")]
		if !known {
			unknown = fmt.Errorf("the template of %s has the unknown placeholder %s", v.role, name)
		}
		return value
	})
	return text, unknown
}

// run starts the process of a machine with the command of the deploy file.
func (f *fleet) run(v *vm) error {
	text, err := f.settings(v)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, v.name+".hujson")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.process = exec.Command("target/coriandershift-forward", v.role)
	v.process.Env = append(os.Environ(), "CORIANDERSHIFT_SETTINGS="+path)
	v.process.Stdout, v.process.Stderr = out, out
	return v.process.Start()
}

// end sends a signal that ends the process of a machine and waits for that.
func (f *fleet) end(v *vm, signal syscall.Signal) {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Signal(signal)
	_ = v.process.Wait()
	v.process = nil
}

func (f *fleet) close() {
	for _, v := range f.vms {
		if v.process != nil {
			_ = v.process.Process.Signal(syscall.SIGCONT)
		}
		f.end(v, syscall.SIGKILL)
	}
	f.store.Close()
	f.claim.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// route is one route of the operator's configuration.
type route struct {
	Name            string  `json:"name"`
	Hostname        string  `json:"hostname"`
	Prefix          string  `json:"prefix"`
	Type            string  `json:"type"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	Attempts        int     `json:"attempts"`
}

func (r route) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.Hostname + ":" + strings.Trim(r.Prefix, "/"))
}

var (
	feedRoute   = route{"r-feed", "198.18.0.1", "/8443/", "safe", 2500, 150, 2, "core", 2}
	submitRoute = route{"r-submit", "198.18.0.1", "/8080/", "unsafe", 3000, 200, 1, "core", 2}
	packRoute   = route{"r-pack", "198.18.0.2", "/8443/", "download", 8000, 500, 2, "files", 2}
)

// configure writes the operator's configuration.
func (f *fleet) configure(version int, warmupS, warmupPerS float64, routes ...route) {
	var services []map[string]any
	for _, name := range []string{"core", "files"} {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": warmupS, "warmupPerS": warmupPerS,
		})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.store.Put("op/config", string(text))
}

// small starts the machines of a small deployment and their targets: 6 balancers and 11
// agents in 4 zones. It returns the balancers by zone and the targets.
func (f *fleet) small() (map[string][]*vm, []*target, error) {
	zones := []string{"poa-a", "poa-b", "cwb-a", "fln-a"}
	fronts := map[string][]*vm{}
	for _, zone := range []string{"poa-a", "poa-b", "cwb-a", "fln-a", "poa-a", "poa-b"} {
		fronts[zone] = append(fronts[zone], f.add("balancer", zone, ""))
	}
	var seeds []netip.Addr
	for _, zone := range zones[1:] {
		seeds = append(seeds, fronts[zone][0].reachable())
	}
	for _, zone := range append(zones, zones[:3]...) {
		f.add("agent", zone, "core")
	}
	for _, zone := range zones {
		f.add("agent", zone, "files")
	}
	var targets []*target
	for _, v := range f.vms {
		v.seeds = seeds
		if err := f.start(v); err != nil {
			return nil, nil, err
		}
	}
	for _, v := range f.vms {
		if v.role != "agent" {
			continue
		}
		t, err := startTarget(v, 30*time.Millisecond, 0)
		if err != nil {
			return nil, nil, err
		}
		targets = append(targets, t)
	}
	return fronts, targets, nil
}

// waitReady waits until all balancers of a zone take traffic.
func waitReady(c *client, count int, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		ready := len(c.rotation)
		c.mu.Unlock()
		if ready >= count {
			return true
		}
	}
	return false
}
