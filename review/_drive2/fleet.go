package main

import (
	"encoding/json"
	"errors"
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

// record writes what happens to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// vm is a machine with one process of the system.
type vm struct {
	name, role, zone, service string
	ip                        netip.Addr // the machine's own address
	advertised                netip.Addr // where the others reach it
	command                   *exec.Cmd
	exited                    chan struct{}
	logs                      string
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// fleet is a deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	binary string
	subnet byte
	claim  net.Listener
	store  *standin.Store
	fronts []*vm
	sides  []*vm

	proxied bool // the machines reach each other through network
	network *network
}

func newFleet(r *record, binary string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, binary: binary, store: standin.NewStore()}
	for i := range 200 {
		subnet := byte(20 + (os.Getpid()+i)%200)
		if claim, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.253:%d", subnet, internalPort)); err == nil {
			f.subnet, f.claim = subnet, claim
			return f, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (f *fleet) ip(group, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(group), byte(index + 1)})
}

// address returns the address of a route by its number.
func route(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(number / 200), byte(1 + number%200)}), 443)
}

func (f *fleet) addFront(zone string) *vm {
	v := &vm{name: fmt.Sprintf("front-%d", len(f.fronts)+1), role: "balancer", zone: zone, ip: f.ip(1, len(f.fronts))}
	v.advertised = v.ip
	if f.proxied {
		v.advertised = f.ip(5, len(f.fronts))
	}
	f.fronts = append(f.fronts, v)
	return v
}

func (f *fleet) addSide(zone, service string) *vm {
	v := &vm{name: fmt.Sprintf("side-%d", len(f.sides)+1), role: "agent", zone: zone, service: service, ip: f.ip(2, len(f.sides))}
	v.advertised = v.ip
	if f.proxied {
		v.advertised = f.ip(6, len(f.sides))
	}
	f.sides = append(f.sides, v)
	return v
}

var (
	linkSection = regexp.MustCompile(`(?m)^.*\{\{#limits.linkMbps\}\}.*$`)
	seedSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
)

// settings fills in a template of the deploy folder, as the platform does.
func (f *fleet) settings(v *vm) (string, error) {
	template, err := os.ReadFile(filepath.Join("deploy", v.role+".hujson"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, front := range f.fronts[:min(3, len(f.fronts))] {
		seeds = append(seeds, `"`+netip.AddrPortFrom(front.advertised, controlPort).String()+`"`)
	}
	text := linkSection.ReplaceAllString(string(template), `  "linkMbps": 1000,`)
	text = seedSection.ReplaceAllString(text, strings.Join(seeds, ", "))
	if f.proxied {
		text = strings.Replace(text, `"address": "{{ip}}:`, `"listen": "{{ip}}:{{internalPortRange.0}}", "address": "`+v.advertised.String()+`:`, 1)
	}
	return strings.NewReplacer(
		"{{nodeName}}", v.name, "{{zone}}", v.zone, "{{ip}}", v.ip.String(), "{{internalPortRange.0}}", fmt.Sprint(internalPort),
		"{{platform.address}}", f.store.Address().String(), "{{service}}", v.service, "{{app}}", v.at(appPort).String(),
		"{{listen.outbound}}", v.at(outboundPort).String(), "{{listen.control}}", v.at(controlPort).String(),
		"{{listen.datagramAddr}}", v.at(datagramPort).String(), "{{listen.readyAddr}}", v.at(readyPort).String(),
	).Replace(text), nil
}

// start starts a machine's process with the command of the deploy file.
func (f *fleet) start(v *vm) error {
	text, err := f.settings(v)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, v.name+".hujson")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	v.logs = filepath.Join(f.folder, v.name+".log")
	out, err := os.OpenFile(v.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(f.binary, v.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERSHIFT_SETTINGS=" + path}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.command, v.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	f.record.log("%s starts", v.name)
	return nil
}

// signal sends a signal to a machine's process.
func (f *fleet) signal(v *vm, s syscall.Signal) {
	f.record.log("%s gets %s", v.name, s)
	_ = v.command.Process.Signal(s)
}

// roll stops a process with SIGTERM, with SIGKILL after graceS, and starts it again.
func (f *fleet) roll(v *vm) error {
	f.signal(v, syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(6 * time.Second):
		f.signal(v, syscall.SIGKILL)
		<-v.exited
	}
	f.record.log("%s has ended", v.name)
	time.Sleep(300 * time.Millisecond)
	return f.start(v)
}

// machines returns all machines.
func (f *fleet) machines() []*vm {
	return append(append([]*vm(nil), f.fronts...), f.sides...)
}

func (f *fleet) startAll() error {
	for _, v := range f.machines() {
		if err := f.start(v); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, v := range f.machines() {
		if v.command != nil {
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	f.store.Close()
	f.claim.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// countLogs counts the lines of the logs of some machines that contain a text.
func countLogs(vms []*vm, text string) int {
	count := 0
	for _, v := range vms {
		data, _ := os.ReadFile(v.logs)
		count += strings.Count(string(data), text)
	}
	return count
}

// configuration is the operator's configuration.
type configuration struct {
	Version  int           `json:"version"`
	Routes   []configRoute `json:"routes"`
	Services []any         `json:"services"`
	Limits   any           `json:"limits"`
}

type configRoute struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	Prefix          string `json:"prefix"`
	Type            string `json:"type"`
	Service         string `json:"service"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
}

func newConfiguration(warmupPerS float64, services ...string) *configuration {
	c := &configuration{Version: 3, Limits: map[string]any{"idleTimeoutMs": 12000}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{"name": s, "maxConns": 2000, "healthPath": "/health", "warmupS": 6, "warmupPerS": warmupPerS})
	}
	return c
}

// addRoute adds a route in a new version.
func (c *configuration) addRoute(number int, service string) {
	a := route(number)
	c.Routes = append(c.Routes, configRoute{
		Name: fmt.Sprintf("route-%d", number), Hostname: a.Addr().String(), Prefix: fmt.Sprintf("/%d/", a.Port()), Type: "safe",
		Service: service, TimeoutMs: 2500, TargetLatencyMs: 150, Priority: 2,
	})
	c.Version += 1 + number%3
}

// put writes the configuration to the store, whose answer is the acknowledgement.
func (f *fleet) put(c *configuration) {
	data, _ := json.Marshal(c)
	f.store.Put("op/config", string(data))
	f.record.log("configuration %d with %d routes is acknowledged", c.Version, len(c.Routes))
}
