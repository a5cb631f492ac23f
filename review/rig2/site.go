package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/platform"
)

// ports are the ports of a site, the same on all of its machines.
type ports struct {
	packets, ready, control, tunnel, metrics, outbound, app, store int
}

// site is a small deployment on loopback addresses, each machine with one of its own.
type site struct {
	dir    string
	prefix string // of the machines' addresses
	ports  ports
	zones  []string

	mu        sync.Mutex
	processes []*process
	// newest has the newest process of each name.
	newest map[string]*process
	events []event
	// silent is the name of a backend that sends no heartbeats itself.
	silent string
	// backends has the start and the end of each backend; the end is zero while it runs.
	backends map[string]*life
}

// life is the time that a process ran.
type life struct{ start, end time.Time }

// process is a started process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// running is the site to be stopped when a signal ends this process.
var running atomic.Pointer[site]

// endOnSignal makes SIGTERM and SIGINT stop the running site and end this process.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if s := running.Load(); s != nil {
			s.stop()
		}
		os.Exit(exitNotRun)
	}()
}

// newSite returns a site in a new temporary folder, with ports that are free.
func newSite(zones ...string) (*site, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, zones: zones, backends: map[string]*life{}, newest: map[string]*process{}}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		s.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		if s.free() {
			running.Store(s)
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// free reports whether the site's ports are free on its first addresses.
func (s *site) free() bool {
	for host := 1; host < 80; host++ {
		for port := s.ports.packets; port <= s.ports.store; port++ {
			ln, err := net.Listen("tcp4", s.addr(host, port))
			if err != nil {
				return false
			}
			ln.Close()
			conn, err := net.ListenPacket("udp4", s.addr(host, port))
			if err != nil {
				return false
			}
			conn.Close()
		}
	}
	return true
}

// zone returns the failure domain of a machine.
func (s *site) zone(i int) string { return s.zones[i%len(s.zones)] }

// addr returns the address of a port of a machine.
func (s *site) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, host, port) }

// The numbers of machines: hosts of balancers, sidecars and callers.
const (
	storeHost    = 1
	balancerHost = 10
	sidecarHost  = 30
	callerHost   = 60
)

// start starts a process whose output goes to a file, or line by line to handle.
func (s *site) start(name string, env []string, handle func([]byte), command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = out
	p := &process{cmd: cmd, done: make(chan struct{})}
	var lines *bufio.Scanner
	if handle == nil {
		cmd.Stdout = out
	} else {
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		lines = bufio.NewScanner(pipe)
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines != nil && lines.Scan() {
			handle(lines.Bytes())
		}
		_ = cmd.Wait()
		out.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.newest[name] = p
	s.mu.Unlock()
	return p, nil
}

// named returns the newest process of a name.
func (s *site) named(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[name]
}

// stop ends all processes. It removes the folder unless RIG2_KEEP is set.
func (s *site) stop() {
	s.mu.Lock()
	list := s.processes
	s.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	if os.Getenv("RIG2_KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// configuration is the operator's configuration with one route to one service. idle_timeout_ms is that of
// the examples of the sites.
const configuration = `{"version":3,"routes":[{"name":"r-1","host":"%s","prefix":"/%d/","kind":"safe","timeout_ms":2000,` +
	`"target_latency_ms":150,"priority":2,"service":"%s","max_attempts":2}],"services":[{"name":"%[3]s",` +
	`"health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,` +
	`"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// startStore starts the stand-in of the platform's store and writes a configuration with one route.
func (s *site) startStore(address netip.AddrPort, service string) error {
	addr := s.addr(storeHost, s.ports.store)
	if _, err := s.start("store", nil, nil, "target/standins", "store", "--listen", addr); err != nil {
		return err
	}
	client, closeClient := platform.New(slog.New(slog.DiscardHandler), netip.MustParseAddrPort(addr), metrics.NewRegistry())
	defer closeClient()
	put := platform.Put{Key: "op/config", Data: fmt.Appendf(nil, configuration, address.Addr(), address.Port(), service)}
	var err error
	for range 50 {
		time.Sleep(50 * time.Millisecond)
		if _, err = client.Write(context.Background(), platform.Transaction{Puts: []platform.Put{put}}); err == nil {
			return nil
		}
	}
	return err
}

// placeholder matches the placeholders of the templates in deploy/, seeds the list of peers.
var (
	placeholder = regexp.MustCompile(`\{\{[^{}]*\}\}`)
	seeds       = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
)

// settings fills in a template for a machine and returns the path of the file.
func (s *site) settings(template, name, zone, service string, host int) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var peers []string
	for i := range 2 {
		peers = append(peers, fmt.Sprintf("%q", s.addr(balancerHost+i, s.ports.control)))
	}
	text := seeds.ReplaceAllString(string(data), strings.Join(peers, ", "))
	values := map[string]string{
		"node|json": quote(name), "zone|json": quote(zone), "service|json": quote(service), "ip": fmt.Sprintf("%s%d", s.prefix, host),
		"listen.packets|json": quote(s.addr(host, s.ports.packets)), "listen.ready|json": quote(s.addr(host, s.ports.ready)),
		"listen.control|json": quote(s.addr(host, s.ports.control)), "listen.outbound|json": quote(s.addr(host, s.ports.outbound)),
		"app|json": quote(s.addr(host, s.ports.app)), "platform.address|json": quote(s.addr(storeHost, s.ports.store)),
		"internal_ports.0": fmt.Sprint(s.ports.tunnel), "internal_ports.1": fmt.Sprint(s.ports.metrics),
		"bounds.reuse_after_s": "2", "bounds.flow_max_s": "60",
	}
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
	path := filepath.Join(s.dir, name+".json")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

func quote(text string) string { return fmt.Sprintf("%q", text) }

// startRole starts a balancer or a sidecar with the command of the deploy file.
func (s *site) startRole(role, name, zone, service string, host int) (*process, error) {
	path, err := s.settings("deploy/"+role+".json", name, zone, service, host)
	if err != nil {
		return nil, err
	}
	return s.start(name, []string{"GREENGAGEDYKE_SETTINGS=" + path}, nil, "target/greengagedyke", role, "--flows")
}

// startBackend starts a backend beside a sidecar.
func (s *site) startBackend(name, zone, service string, host int) (*process, error) {
	s.mu.Lock()
	s.backends[name] = &life{start: time.Now()}
	s.mu.Unlock()
	return s.start(name, nil, s.handleEvent, os.Args[0], "backend", "-name", name, "-service", service, "-zone", zone,
		fmt.Sprintf("-silent=%v", name == s.silent), "-app", s.addr(host, s.ports.app), "-outbound", s.addr(host, s.ports.outbound), "-control", s.addr(host, s.ports.control))
}

// killBackend kills a backend.
func (s *site) killBackend(name string, p *process) {
	s.mu.Lock()
	s.backends[name].end = time.Now()
	s.mu.Unlock()
	p.kill()
}

// handleEvent records a line of a backend.
func (s *site) handleEvent(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

// allEvents returns the events of all backends so far, in order of time.
func (s *site) allEvents() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(s.events)
	slices.SortStableFunc(list, func(a, b event) int { return a.At.Compare(b.At) })
	return list
}
