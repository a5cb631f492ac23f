// Package ends holds small stand-ins for the two ends of flows that carry no name of
// their own, and for the routers between them: upstreams that answer requests and
// bounce what they do not hold, and callers that open flows and send again what is
// lost.
package ends

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

// Upstream answers each request with the request's bytes. It is safe for concurrent use.
type Upstream struct {
	service string
	sidecar netip.AddrPort
	conn    *net.UDPConn
	codec   platform.Packets

	mu       sync.Mutex
	beat     flow.Heartbeat
	flows    map[flow.Key]uint32
	opened   int
	requests map[string]int
}

// StartUpstream starts an upstream at app, which sends its packets to outbound and its
// heartbeats to control until the clean-up function is called.
func StartUpstream(service, id string, app, outbound, control netip.AddrPort) (*Upstream, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, nil, errors.Wrap(err, "ends.StartUpstream")
	}
	u := &Upstream{
		service:  service,
		sidecar:  outbound,
		conn:     conn,
		beat:     flow.Heartbeat{ID: id, Service: service, State: flow.StateReady, Born: time.Now(), Slots: 2},
		flows:    map[flow.Key]uint32{},
		requests: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { u.read(); done <- struct{}{} }()
	go func() { u.beats(ctx, control); done <- struct{}{} }()
	return u, func() {
		cancel()
		conn.Close()
		<-done
		<-done
	}, nil
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
	return u.opened
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
		_ = platform.SendHeartbeat(call, control, b) // the sidecar may be down; the next one follows
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
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
	first, held := u.flows[p.Key]
	switch {
	case p.Opening():
		if !held {
			first = rand.Uint32()
			u.flows[p.Key] = first
			u.opened++
		}
		u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagOpen | flow.FlagAck, Sequence: first, Ack: p.Sequence + 1}, nil)
	case !held:
		u.codec.Bounce(raw)
		u.write(raw)
	case p.Flags.Has(flow.FlagReset):
		delete(u.flows, p.Key)
	case p.Length > 0:
		u.answer(p, string(u.codec.Data(raw)))
	}
}

// answer runs a request once, and answers each copy of it.
func (u *Upstream) answer(p *flow.Packet, request string) {
	u.requests[request] = 1
	u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck, Sequence: p.Ack, Ack: p.Sequence + uint32(p.Length)}, []byte(request))
}

func (u *Upstream) send(p *flow.Packet, data []byte) { u.write(u.codec.AppendPacket(nil, p, data)) }

// write loses the packet if the sidecar is down, as the network may.
func (u *Upstream) write(raw []byte) { _, _ = u.conn.WriteToUDPAddrPort(raw, u.sidecar) }
