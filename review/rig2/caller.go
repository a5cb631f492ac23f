package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

// The caller's times, as the platform's page on packets gives them.
const (
	openTimeout    = 1400 * time.Millisecond
	firstInterval  = 200 * time.Millisecond
	longestWait    = 1600 * time.Millisecond
	callerDeadline = 2 * time.Second
)

// callers opens flows from one address, each from a port of its own.
type callers struct {
	conn      *net.UDPConn
	codec     platform.PacketCodec
	balancers []netip.AddrPort
	// router selects the balancers if it is set; else a hash over all does.
	router *router
	port   atomic.Uint32
	// users are the goroutines that use flows.
	users sync.WaitGroup

	mu    sync.Mutex
	flows map[flow.Key]*callerFlow
	// outcomes counts the ends of requests.
	outcomes map[string]int
	// failed are the requests without an answer, with their flows.
	failed []string
	// ended has the flows that were closed, by key.
	ended map[string]*callerFlow
}

// received is a packet for the caller.
type received struct {
	packet flow.Packet
	data   string
}

// startCallers opens the callers' socket.
func (s *site) startCallers(host, balancers int) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.addr(host, s.ports.packets))))
	if err != nil {
		return nil, err
	}
	c := &callers{conn: conn, flows: map[flow.Key]*callerFlow{}, outcomes: map[string]int{}, ended: map[string]*callerFlow{}}
	c.port.Store(1024)
	for i := range balancers {
		c.balancers = append(c.balancers, netip.MustParseAddrPort(s.addr(balancerHost+i, s.ports.packets)))
	}
	go c.read()
	return c, nil
}

func (c *callers) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p flow.Packet
		if c.codec.Parse(buf[:n], false, &p) != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Key]
		c.mu.Unlock()
		if f != nil {
			f.receive(received{p, string(c.codec.Data(buf[:n]))})
		}
	}
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	c     *callers
	key   flow.Key
	in    chan received
	reset bool
	// resetAt is when the reset arrived.
	resetAt time.Time

	mu             sync.Mutex
	opened         bool
	next, expected uint32
	// sent is when packets other than the opening ones were sent.
	sent []time.Time
}

// newFlow returns a flow that is not open yet.
func (c *callers) newFlow(service netip.AddrPort) *callerFlow {
	from := netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), uint16(c.port.Add(1)))
	f := &callerFlow{c: c, key: flow.NewKey(from, service), in: make(chan received, 64), next: rand.Uint32()}
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	return f
}

// receive handles a packet. The end of the handshake is sent at once, before the flow's user runs.
func (f *callerFlow) receive(r received) {
	f.mu.Lock()
	if opens := r.packet.Flags.Has(flow.FlagOpen | flow.FlagAck); opens && !f.opened {
		f.opened = true
		f.next++
		f.expected = r.packet.Sequence + 1
		f.sendLocked(flow.FlagAck, f.expected, "")
	}
	if r.packet.Flags.Has(flow.FlagReset) && f.resetAt.IsZero() {
		f.resetAt = time.Now()
	}
	f.mu.Unlock()
	select {
	case f.in <- r:
	default:
	}
}

// send sends a packet that acknowledges what has arrived.
func (f *callerFlow) send(flags flow.Flags, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendLocked(flags, f.expected, data)
}

// sendLocked sends a packet to the balancer that the router's hash selects. The caller holds mu.
func (f *callerFlow) sendLocked(flags flow.Flags, ack uint32, data string) {
	p := flow.Packet{Key: f.key, FromCaller: true, Flags: flags, Sequence: f.next, Ack: ack}
	if !flags.Has(flow.FlagOpen) {
		f.sent = append(f.sent, time.Now())
	}
	to := f.c.balancers[f.key.Hash()%uint64(len(f.c.balancers))]
	if f.c.router != nil {
		to = f.c.router.route(f.key.String())
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(f.c.codec.AppendPacket(nil, &p, []byte(data)), to)
}

// await returns the first packet that match accepts, until a time. A reset ends the flow.
func (f *callerFlow) await(until time.Time, match func(*flow.Packet) bool) (received, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return received{}, false
		case r := <-f.in:
			if r.packet.Flags.Has(flow.FlagReset) {
				f.reset = true
				return r, false
			}
			if match(&r.packet) {
				return r, true
			}
		}
	}
}

// open opens the flow.
func (f *callerFlow) open() bool {
	start := time.Now()
	for copies, until := range []time.Duration{firstInterval, 3 * firstInterval, openTimeout} {
		f.mu.Lock()
		if !f.opened {
			f.sendLocked(flow.FlagOpen, uint32(copies), "")
		}
		f.mu.Unlock()
		if _, ok := f.await(start.Add(until), func(p *flow.Packet) bool { return p.Flags.Has(flow.FlagOpen | flow.FlagAck) }); ok {
			return true
		}
		if f.reset {
			return false
		}
	}
	return false
}

// do sends a request and its repeats, until it is answered or its deadline passes.
func (f *callerFlow) do(request string) bool {
	deadline := time.Now().Add(callerDeadline)
	for wait := firstInterval; time.Now().Before(deadline); wait = min(2*wait, longestWait) {
		f.send(flow.FlagAck, request)
		until := time.Now().Add(wait)
		if until.After(deadline) {
			until = deadline
		}
		r, ok := f.await(until, func(p *flow.Packet) bool { return p.Length > 0 && p.Sequence == f.expected })
		if ok && r.data == request {
			f.mu.Lock()
			f.next += uint32(len(request))
			f.expected += uint32(r.packet.Length)
			f.mu.Unlock()
			f.send(flow.FlagAck, "")
			return true
		}
		if f.reset {
			return false
		}
	}
	return false
}

// close ends the flow.
func (f *callerFlow) close() {
	for wait := firstInterval; wait <= longestWait && !f.reset; wait *= 2 {
		f.send(flow.FlagAck|flow.FlagEnd, "")
		if _, ok := f.await(time.Now().Add(wait), func(p *flow.Packet) bool { return p.Flags.Has(flow.FlagEnd) }); ok {
			break
		}
	}
	f.c.mu.Lock()
	delete(f.c.flows, f.key)
	f.c.ended[f.key.String()] = f
	f.c.mu.Unlock()
}

// count records the end of a request.
func (c *callers) count(outcome string, f *callerFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	if outcome != "answered" {
		c.failed = append(c.failed, fmt.Sprintf("%s %s %s", time.Now().Format("15:04:05.000"), outcome, f.key))
	}
}

// use opens a flow, sends requests with pauses between them, and closes the flow.
func (c *callers) use(service netip.AddrPort, requests int, pause time.Duration) {
	f := c.newFlow(service)
	defer f.close()
	if !f.open() {
		c.count("not opened", f)
		return
	}
	for i := range requests {
		if i > 0 {
			time.Sleep(pause)
		}
		if f.do(fmt.Sprintf("request %d on %s", i, f.key)) {
			c.count("answered", f)
			continue
		}
		if f.reset {
			c.count("reset", f)
		} else {
			c.count("no answer by the deadline", f)
		}
		return
	}
}
