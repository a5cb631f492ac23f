// Package flowtest holds small stand-ins for the two ends of flows that carry no name of
// their own, and for the routers between them: upstreams that answer requests and
// bounce what they do not hold, and callers that open flows and send again what is
// lost.
package flowtest

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

const (
	maxDatagram  = 2048
	beatInterval = 300 * time.Millisecond
)

// Upstream answers each request with the request's bytes. While it leaves, it ends each
// flow with the next answer. It is safe for concurrent use.
type Upstream struct {
	service string
	sidecar netip.AddrPort
	conn    *net.UDPConn
	codec   platform.PacketCodec

	mu     sync.Mutex
	beat   flow.Heartbeat
	flows  map[flow.Key]*opened
	count  int
	newest time.Time
	// left is when a heartbeat that says that the upstream leaves was acknowledged.
	left     time.Time
	requests map[string]int
}

// opened is a flow at an upstream.
type opened struct {
	// first is the upstream's first sequence number.
	first uint32
	// chosen is set once the caller has acknowledged it: the flow is open here.
	chosen bool
	// next is the sequence number after the caller's last byte.
	next uint32
}

// StartUpstream starts an upstream at app, which sends its packets to outbound and its
// heartbeats to control until the clean-up function is called.
func StartUpstream(service, id string, app, outbound, control netip.AddrPort) (*Upstream, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, nil, errors.Wrap(err, "flowtest.StartUpstream")
	}
	health, err := net.Listen("tcp4", app.String())
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "flowtest.StartUpstream")
	}
	u := &Upstream{
		service:  service,
		sidecar:  outbound,
		conn:     conn,
		beat:     flow.Heartbeat{ID: id, Service: service, State: flow.StateReady, StartedAt: time.Now(), Slots: 2},
		flows:    map[flow.Key]*opened{},
		requests: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { accept(health); done <- struct{}{} }()
	go func() { u.read(); done <- struct{}{} }()
	go func() { u.beats(ctx, control); done <- struct{}{} }()
	return u, func() {
		cancel()
		conn.Close()
		health.Close()
		for range cap(done) {
			<-done
		}
	}, nil
}

// accept closes all connections: that the upstream listens says that it runs.
func accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		conn.Close()
	}
}

// Leave makes the upstream say that it leaves.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beat.State = flow.StateLeaving
}

// Opened is the number of flows that were opened here.
func (u *Upstream) Opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.count
}

// Service is the service that the upstream serves.
func (u *Upstream) Service() string { return u.service }

// Holds reports whether a flow is open here.
func (u *Upstream) Holds(k flow.Key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	o, ok := u.flows[k]
	return ok && o.chosen
}

// Left returns when the word that the upstream leaves was acknowledged, and when the
// newest flow came; zero if never.
func (u *Upstream) Left() (left, newest time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left, u.newest
}

// Requests counts how often each request was run.
func (u *Upstream) Requests() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.requests)
}

func (u *Upstream) beats(ctx context.Context, control netip.AddrPort) {
	for ctx.Err() == nil {
		u.mu.Lock()
		u.beat.Sequence++
		b := u.beat
		u.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, time.Second)
		err := platform.SendHeartbeat(call, control, b) // the sidecar may be down; the next one follows
		cancel()
		if err == nil && b.State == flow.StateLeaving {
			u.noteLeft()
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

func (u *Upstream) noteLeft() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.left.IsZero() {
		u.left = time.Now()
	}
}

func (u *Upstream) read() {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p flow.Packet
		if err != nil || u.codec.Parse(in[:n], true, &p) != nil {
			continue
		}
		u.packet(in[:n], &p)
	}
}

func (u *Upstream) packet(raw []byte, p *flow.Packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	o := u.flows[p.Key]
	switch {
	case p.Opening():
		u.open(o, p)
	case o == nil || !o.chosen && p.Ack != o.first+1:
		u.codec.Bounce(raw)
		u.write(raw)
	case p.Flags.Has(flow.FlagReset):
		delete(u.flows, p.Key)
	default:
		u.data(o, raw, p)
	}
}

// open answers an opening packet; o is the flow if the packet came before.
func (u *Upstream) open(o *opened, p *flow.Packet) {
	if o == nil {
		o = &opened{first: rand.Uint32(), next: p.Sequence + 1}
		u.flows[p.Key] = o
		u.count++
		u.newest = time.Now()
	}
	u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagOpen | flow.FlagAck, Sequence: o.first, Ack: p.Sequence + 1}, nil)
}

// data handles a packet of an open flow: it runs a request once, and answers each copy.
func (u *Upstream) data(o *opened, raw []byte, p *flow.Packet) {
	o.chosen = true
	if p.Flags.Has(flow.FlagEnd) {
		u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck | flow.FlagEnd, Sequence: p.Ack, Ack: p.Sequence + 1}, nil)
		delete(u.flows, p.Key)
		return
	}
	if p.Length == 0 {
		return
	}
	request := string(u.codec.Data(raw))
	if p.Sequence == o.next {
		u.requests[request]++
		o.next += uint32(p.Length)
	}
	flags := flow.FlagAck
	if u.beat.State == flow.StateLeaving {
		flags |= flow.FlagEnd
	}
	u.send(&flow.Packet{Key: p.Key, Flags: flags, Sequence: p.Ack, Ack: p.Sequence + uint32(p.Length)}, []byte(request))
}

func (u *Upstream) send(p *flow.Packet, data []byte) { u.write(u.codec.AppendPacket(nil, p, data)) }

// write loses the packet if the sidecar is down, as the network may.
func (u *Upstream) write(raw []byte) { _, _ = u.conn.WriteToUDPAddrPort(raw, u.sidecar) }
