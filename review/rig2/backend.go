package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

// event is a line that a backend writes to standard output.
type event struct {
	At      time.Time `json:"at"`
	Backend string    `json:"backend"`
	// Kind is one of the event constants.
	Kind string `json:"kind"`
	Flow string `json:"flow,omitempty"`
	// Request is the text of a request that the backend runs.
	Request string `json:"request,omitempty"`
}

// The kinds of events.
const (
	// eventOpening: an opening packet has arrived.
	eventOpening = "opening"
	// eventOpened: the end of a flow's handshake has arrived.
	eventOpened = "opened"
	// eventOwn: a packet of a flow has arrived that the backend holds.
	eventOwn = "own"
	// eventForeign: a packet of a flow has arrived that the backend does not hold.
	eventForeign = "foreign"
	// eventRun: the backend begins to work on a request.
	eventRun = "run"
)

// backend is a stand-in for an application backend. It holds flows as the platform's page on packets
// says, answers each request with the request's text, and sends heartbeats.
type backend struct {
	name      string
	outbound  netip.AddrPort
	conn      *net.UDPConn
	codec     platform.PacketCodec
	work      time.Duration
	slots     chan struct{}
	mu        sync.Mutex
	flows     map[flow.Key]*backendFlow
	output    *json.Encoder
	heartbeat flow.Heartbeat
}

// backendFlow is a flow that is open or waits for the end of its handshake.
type backendFlow struct {
	first, next uint32 // the backend's first sequence number, and the next one that it sends
	expected    uint32 // the caller's next sequence number
	open, ended bool
	answers     []flow.Packet
	texts       []string
}

// backendFlags are the flags of a backend.
type backendFlags struct {
	name, service, zone, app, outbound, control string
	slots                                       int
	beat, work                                  time.Duration
	silent                                      bool
}

// parseBackendFlags parses the arguments of a backend.
func parseBackendFlags(args []string) (*backendFlags, error) {
	var f backendFlags
	fs := flag.NewFlagSet("backend", flag.ContinueOnError)
	fs.StringVar(&f.name, "name", "", "identity")
	fs.StringVar(&f.service, "service", "", "service")
	fs.StringVar(&f.zone, "zone", "", "failure domain")
	fs.StringVar(&f.app, "app", "", "address for packets and health checks")
	fs.StringVar(&f.outbound, "outbound", "", "the sidecar's address for packets")
	fs.StringVar(&f.control, "control", "", "the sidecar's address for heartbeats")
	fs.DurationVar(&f.beat, "beat", 770*time.Millisecond, "time between heartbeats")
	fs.IntVar(&f.slots, "slots", 3, "requests at once")
	fs.DurationVar(&f.work, "work", 5*time.Millisecond, "time for a request")
	fs.BoolVar(&f.silent, "silent", false, "send no heartbeats")
	return &f, fs.Parse(args)
}

// newBackend returns a backend with its sockets, which accepts health checks.
func newBackend(f *backendFlags) (*backend, error) {
	app, err := netip.ParseAddrPort(f.app)
	if err != nil {
		return nil, err
	}
	outbound, err := netip.ParseAddrPort(f.outbound)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	return &backend{
		name: f.name, outbound: outbound, conn: conn, work: f.work, slots: make(chan struct{}, f.slots),
		flows: map[flow.Key]*backendFlow{}, output: json.NewEncoder(os.Stdout),
		heartbeat: flow.Heartbeat{
			ID: f.name, Service: f.service, Address: app, FailureDomain: f.zone, State: flow.StateReady, StartedAt: time.Now(), Slots: f.slots,
		},
	}, nil
}

// runBackend runs a backend until it is killed.
func runBackend(args []string) error {
	f, err := parseBackendFlags(args)
	if err != nil {
		return err
	}
	control, err := netip.ParseAddrPort(f.control)
	if err != nil {
		return err
	}
	b, err := newBackend(f)
	if err != nil {
		return err
	}
	if !f.silent {
		go b.sendHeartbeats(control, f.beat)
	}
	buf := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return fmt.Errorf("backend: %w", err)
		}
		b.handle(buf[:n])
	}
}

// sendHeartbeats sends a heartbeat at once and then at regular times.
func (b *backend) sendHeartbeats(to netip.AddrPort, beat time.Duration) {
	for {
		b.beat(to)
		time.Sleep(beat)
	}
}

// beat sends a heartbeat. One that fails is followed by the next.
func (b *backend) beat(to netip.AddrPort) {
	b.heartbeat.Sequence++
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = platform.SendHeartbeat(ctx, to, b.heartbeat)
}

func (b *backend) emit(kind string, k flow.Key, request string) {
	_ = b.output.Encode(event{At: time.Now(), Backend: b.name, Kind: kind, Flow: k.String(), Request: request})
}

func (b *backend) send(p *flow.Packet, data string) {
	_, _ = b.conn.WriteToUDPAddrPort(b.codec.AppendPacket(nil, p, []byte(data)), b.outbound)
}

// handle handles a packet that the sidecar has forwarded.
func (b *backend) handle(raw []byte) {
	var p flow.Packet
	if b.codec.Parse(raw, true, &p) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[p.Key]
	if p.Opening() {
		b.emit(eventOpening, p.Key, "")
		if f == nil {
			f = &backendFlow{first: rand.Uint32(), expected: p.Sequence + 1}
			f.next = f.first + 1
			b.flows[p.Key] = f
		}
		b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagOpen | flow.FlagAck, Sequence: f.first, Ack: f.expected}, "")
		return
	}
	if f == nil || !f.open && p.Ack != f.first+1 {
		b.emit(eventForeign, p.Key, "")
		b.codec.Bounce(raw)
		_, _ = b.conn.WriteToUDPAddrPort(raw, b.outbound)
		return
	}
	if !f.open {
		f.open = true
		b.emit(eventOpened, p.Key, "")
	}
	b.emit(eventOwn, p.Key, "")
	b.handleOwn(f, raw, &p)
}

// handleOwn handles a packet of a flow that the backend holds.
func (b *backend) handleOwn(f *backendFlow, raw []byte, p *flow.Packet) {
	if p.Length > 0 && p.Sequence == f.expected && !f.ended {
		text := string(b.codec.Data(raw))
		f.expected += uint32(p.Length)
		b.emit(eventRun, p.Key, text)
		go b.answer(f, p.Key, text)
	} else if p.Length > 0 {
		b.repeat(f, p)
	}
	if p.Flags.Has(flow.FlagEnd) {
		f.ended = true
		b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck | flow.FlagEnd, Sequence: f.next, Ack: p.Sequence + uint32(p.Length) + 1}, "")
	}
}

// repeat answers a repeated request with the packet that answered it, or acknowledges it.
func (b *backend) repeat(f *backendFlow, p *flow.Packet) {
	for i := range f.answers {
		if f.answers[i].Ack == p.Sequence+uint32(p.Length) {
			b.send(&f.answers[i], f.texts[i])
			return
		}
	}
	b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck, Sequence: f.next, Ack: f.expected}, "")
}

// answer works on a request in a slot and answers it.
func (b *backend) answer(f *backendFlow, k flow.Key, text string) {
	b.slots <- struct{}{}
	time.Sleep(b.work)
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	p := flow.Packet{Key: k, Flags: flow.FlagAck, Sequence: f.next, Ack: f.expected}
	f.next += uint32(len(text))
	f.answers, f.texts = append(f.answers, p), append(f.texts, text)
	b.send(&p, text)
}
