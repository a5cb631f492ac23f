package flowtest

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

// Errors of flows.
var (
	// ErrReset means that the flow was reset.
	ErrReset = errors.New("flowtest: the flow was reset")
	// ErrNotOpened means that no upstream answered in time.
	ErrNotOpened = errors.New("flowtest: the flow did not open")
)

const (
	openTimeout   = 1400 * time.Millisecond
	firstCopy     = 200 * time.Millisecond
	secondCopy    = 400 * time.Millisecond
	repeatAfter   = 200 * time.Millisecond
	queuedPackets = 64
)

// Callers are the callers behind one address.
type Callers struct {
	conn   *net.UDPConn
	router *Router
	codec  platform.PacketCodec

	mu    sync.Mutex
	port  uint16
	flows map[flow.Key]chan received
}

type received struct {
	packet flow.Packet
	data   string
}

// StartCallers starts callers at addr until the clean-up function is called.
func StartCallers(addr netip.AddrPort, r *Router) (*Callers, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, errors.Wrap(err, "flowtest.StartCallers")
	}
	c := &Callers{conn: conn, router: r, port: 1024, flows: map[flow.Key]chan received{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.read()
	}()
	return c, func() {
		conn.Close()
		<-done
	}, nil
}

func (c *Callers) read() {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p flow.Packet
		if err != nil || c.codec.Parse(in[:n], false, &p) != nil {
			continue
		}
		c.mu.Lock()
		ch := c.flows[p.Key]
		c.mu.Unlock()
		select {
		case ch <- received{packet: p, data: string(c.codec.Data(in[:n]))}:
		default: // nobody waits for it
		}
	}
}

// Flow is an open flow.
type Flow struct {
	callers *Callers
	key     flow.Key
	in      chan received
	// next is the caller's next sequence number, ack the upstream's.
	next, ack uint32
	// ended is set once the upstream has ended the flow.
	ended bool
	// via is where the opening packets went, several if to more than one balancer.
	via     netip.AddrPort
	several bool
}

// Via returns the balancer that got the opening packets, and whether it was one.
func (f *Flow) Via() (netip.AddrPort, bool) { return f.via, !f.several }

// Key names the flow.
func (f *Flow) Key() flow.Key { return f.key }

// Ended reports whether the upstream has ended the flow.
func (f *Flow) Ended() bool { return f.ended }

// Close ends the flow and forgets it. The packet is sent once: an upstream that misses it
// keeps the flow until it is idle.
func (f *Flow) Close() {
	f.send(&flow.Packet{Flags: flow.FlagAck | flow.FlagEnd, Sequence: f.next, Ack: f.ack}, "")
	f.forget()
}

// forget ends the receipt of packets.
func (f *Flow) forget() {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	delete(f.callers.flows, f.key)
}

// Open opens a flow to a service's address. A flow that did not open is returned with
// ErrNotOpened.
func (c *Callers) Open(ctx context.Context, service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	ip := c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &Flow{callers: c, key: flow.NewKey(netip.AddrPortFrom(ip, c.port), service), next: rand.Uint32()}
	f.in = make(chan received, queuedPackets)
	c.flows[f.key] = f.in
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for copies, wait := range []time.Duration{firstCopy, secondCopy, openTimeout} {
		f.send(&flow.Packet{Flags: flow.FlagOpen, Sequence: f.next, Ack: uint32(copies)}, "")
		r, err := f.receive(ctx, wait, func(p *flow.Packet) bool { return p.Flags.Has(flow.FlagOpen) })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			f.forget()
			return f, errors.WithMessage(ErrNotOpened, err.Error())
		}
		f.next++
		f.ack = r.packet.Sequence + 1
		f.send(&flow.Packet{Flags: flow.FlagAck, Sequence: f.next, Ack: f.ack}, "")
		return f, nil
	}
	f.forget()
	return f, ErrNotOpened
}

// Do sends a request and returns its answer. What is lost is sent again until ctx ends.
func (f *Flow) Do(ctx context.Context, request string) (string, error) {
	for ctx.Err() == nil {
		f.send(&flow.Packet{Flags: flow.FlagAck, Sequence: f.next, Ack: f.ack}, request)
		r, err := f.receive(ctx, repeatAfter, func(p *flow.Packet) bool { return p.Length > 0 && p.Sequence == f.ack })
		switch {
		case err == nil:
			f.next += uint32(len(request))
			f.ack += uint32(r.packet.Length)
			f.ended = r.packet.Flags.Has(flow.FlagEnd)
			return r.data, nil
		case errors.Is(err, ErrReset):
			return "", err
		}
	}
	return "", ctx.Err()
}

// receive waits for a packet.
func (f *Flow) receive(ctx context.Context, wait time.Duration, wanted func(*flow.Packet) bool) (received, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return received{}, ctx.Err()
		case r := <-f.in:
			if r.packet.Flags.Has(flow.FlagReset) {
				return r, ErrReset
			}
			if wanted(&r.packet) {
				return r, nil
			}
		}
	}
}

// send loses the packet if the balancer is down, as the network may.
func (f *Flow) send(p *flow.Packet, data string) {
	p.Key = f.key
	p.FromCaller = true
	raw := f.callers.codec.AppendPacket(nil, p, []byte(data))
	to := f.callers.router.Route(f.key)
	if p.Opening() {
		f.several = f.several || f.via.IsValid() && f.via != to
		f.via = to
	}
	_, _ = f.callers.conn.WriteToUDPAddrPort(raw, to)
}
