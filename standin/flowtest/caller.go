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
	// ErrReset means that the caller received a reset of the flow.
	ErrReset = errors.New("flowtest: the flow was reset")
	// ErrNotOpened means that the flow did not open: no answer to its opening packets arrived in
	// time, or the flow was reset.
	ErrNotOpened = errors.New("flowtest: the flow did not open")
)

const (
	// openTimeout is how long a caller tries to open a flow.
	openTimeout = 1400 * time.Millisecond
	// firstOpenWait is the time from the opening packet to its first retransmission.
	firstOpenWait = 200 * time.Millisecond
	// secondOpenWait is the time from the first to the second retransmission.
	secondOpenWait = 400 * time.Millisecond
	// retransmitInterval is the time after which an unanswered request is sent again.
	retransmitInterval = 200 * time.Millisecond
	// queuedPackets is the number of received packets that a flow queues. Later ones are dropped.
	queuedPackets = 64
)

// Callers opens flows from one IP address, each from its own port. It is safe for concurrent use.
type Callers struct {
	conn   *net.UDPConn
	router *Router
	codec  platform.PacketCodec

	mu sync.Mutex
	// lastPort is the caller's port of the flow that was opened last.
	lastPort uint16
	// flows holds the receive queue of each open flow.
	flows map[flow.Key]chan receivedPacket
}

// receivedPacket is a packet from a balancer with its payload.
type receivedPacket struct {
	packet flow.Packet
	data   string
}

// StartCallers listens on addr and returns the callers with the function that stops them. The
// router selects the balancer for each packet.
func StartCallers(addr netip.AddrPort, r *Router) (*Callers, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, errors.Wrap(err, "flowtest.StartCallers")
	}
	c := &Callers{conn: conn, router: r, lastPort: 1024, flows: map[flow.Key]chan receivedPacket{}}
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

// read puts each received packet into its flow's queue until conn is closed.
func (c *Callers) read() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p flow.Packet
		if err != nil || c.codec.Parse(buf[:n], false, &p) != nil {
			continue
		}
		c.mu.Lock()
		ch := c.flows[p.Key]
		c.mu.Unlock()
		select {
		case ch <- receivedPacket{packet: p, data: string(c.codec.Data(buf[:n]))}:
		default: // unknown flow or full queue
		}
	}
}

// Flow is the caller's side of a flow. It is not safe for concurrent use.
type Flow struct {
	callers *Callers
	key     flow.Key
	// packets is the queue of received packets.
	packets chan receivedPacket
	// nextSequence is the sequence number of the next byte that the caller sends; expectedSequence
	// is the sequence number of the next byte that the caller expects from the upstream.
	nextSequence, expectedSequence uint32
	// ended is set once the upstream has ended the flow.
	ended bool
	// openedVia is the address of the balancer that the last opening packet was sent to.
	openedVia netip.AddrPort
	// openedViaSeveral is true if the opening packets were sent to more than one balancer.
	openedViaSeveral bool
	// refusedAfter is the number of opening packets that had been sent when a reset arrived instead of an
	// answer; 0 if none has.
	refusedAfter int
}

// OpenedVia returns the address of the balancer that the last opening packet was sent to, and whether
// all opening packets were sent to that balancer.
func (f *Flow) OpenedVia() (netip.AddrPort, bool) { return f.openedVia, !f.openedViaSeveral }

// RefusedAfter returns the number of opening packets that the caller had sent when it was told that the
// flow is refused; 0 if it was not refused.
func (f *Flow) RefusedAfter() int { return f.refusedAfter }

// Key returns the flow's key, which consists of the caller's and the service's address and port.
func (f *Flow) Key() flow.Key { return f.key }

// Ended reports whether the last answer from the upstream ended the flow.
func (f *Flow) Ended() bool { return f.ended }

// Close sends a packet that ends the flow and stops receiving. The packet is not retransmitted: if
// it is lost, the upstream keeps the flow.
func (f *Flow) Close() {
	f.send(&flow.Packet{Flags: flow.FlagAck | flow.FlagEnd, Sequence: f.nextSequence, Ack: f.expectedSequence}, "")
	f.unregister()
}

// unregister removes the flow from its callers, so that it receives no more packets.
func (f *Flow) unregister() {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	delete(f.callers.flows, f.key)
}

// Open opens a flow to a service's address. If the flow does not open, it returns the flow together
// with an error whose cause is ErrNotOpened.
func (c *Callers) Open(ctx context.Context, service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.lastPort++
	ip := c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &Flow{callers: c, key: flow.NewKey(netip.AddrPortFrom(ip, c.lastPort), service), nextSequence: rand.Uint32()}
	f.packets = make(chan receivedPacket, queuedPackets)
	c.flows[f.key] = f.packets
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	// The Ack of an opening packet holds the number of earlier transmissions.
	for retransmissions, wait := range []time.Duration{firstOpenWait, secondOpenWait, openTimeout} {
		f.send(&flow.Packet{Flags: flow.FlagOpen, Sequence: f.nextSequence, Ack: uint32(retransmissions)}, "")
		r, err := f.receive(ctx, wait, func(p *flow.Packet) bool { return p.Flags.Has(flow.FlagOpen) })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, ErrReset) {
			f.refusedAfter = retransmissions + 1
		}
		if err != nil {
			f.unregister()
			return f, errors.WithMessage(ErrNotOpened, err.Error())
		}
		f.nextSequence++
		f.expectedSequence = r.packet.Sequence + 1
		f.send(&flow.Packet{Flags: flow.FlagAck, Sequence: f.nextSequence, Ack: f.expectedSequence}, "")
		return f, nil
	}
	f.unregister()
	return f, ErrNotOpened
}

// Do sends a request and returns its answer. It retransmits the request until the answer arrives
// or ctx is done. It returns ErrReset if the flow was reset.
func (f *Flow) Do(ctx context.Context, request string) (string, error) {
	for ctx.Err() == nil {
		f.send(&flow.Packet{Flags: flow.FlagAck, Sequence: f.nextSequence, Ack: f.expectedSequence}, request)
		r, err := f.receive(ctx, retransmitInterval, func(p *flow.Packet) bool { return p.Length > 0 && p.Sequence == f.expectedSequence })
		switch {
		case err == nil:
			f.nextSequence += uint32(len(request))
			f.expectedSequence += uint32(r.packet.Length)
			f.ended = r.packet.Flags.Has(flow.FlagEnd)
			return r.data, nil
		case errors.Is(err, ErrReset):
			return "", err
		}
	}
	return "", ctx.Err()
}

// AwaitReset reports whether the flow is reset before ctx is done, without a packet from the caller.
func (f *Flow) AwaitReset(ctx context.Context) bool {
	for ctx.Err() == nil {
		_, err := f.receive(ctx, retransmitInterval, func(*flow.Packet) bool { return false })
		if errors.Is(err, ErrReset) {
			return true
		}
	}
	return false
}

// receive returns the next packet that match accepts and discards the others. It returns ErrReset
// for a reset, and a context error if no packet is accepted within wait.
func (f *Flow) receive(ctx context.Context, wait time.Duration, match func(*flow.Packet) bool) (receivedPacket, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return receivedPacket{}, ctx.Err()
		case r := <-f.packets:
			if r.packet.Flags.Has(flow.FlagReset) {
				return r, ErrReset
			}
			if match(&r.packet) {
				return r, nil
			}
		}
	}
}

// send sends a packet to the balancer that the router selects. A packet that cannot be sent is
// lost, as it might be on a real network.
func (f *Flow) send(p *flow.Packet, data string) {
	p.Key = f.key
	p.FromCaller = true
	raw := f.callers.codec.AppendPacket(nil, p, []byte(data))
	to := f.callers.router.Route(f.key)
	if p.Opening() {
		f.openedViaSeveral = f.openedViaSeveral || f.openedVia.IsValid() && f.openedVia != to
		f.openedVia = to
	}
	_, _ = f.callers.conn.WriteToUDPAddrPort(raw, to)
}
