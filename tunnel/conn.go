package tunnel

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// probeAfter is the time after which a balancer is probed if datagrams are sent through it and
	// none are received from it.
	probeAfter = 250 * time.Millisecond
	// probeTimeout is the time after which a path with an unanswered probe is no longer used.
	probeTimeout = 150 * time.Millisecond
	// socketBuffer is the size in bytes of the socket's kernel buffers.
	socketBuffer = 4 << 20
)

// Endpoint identifies the service and the incarnation of a sidecar. Datagrams of other services are
// dropped; those of other incarnations are not.
type Endpoint struct {
	ServiceTag uint32
	// Incarnation is the low 16 bits of the sidecar's incarnation.
	Incarnation uint16
}

// Counters count the datagrams of a sidecar's tunnel.
type Counters struct {
	// Received counts callers' datagrams received.
	Received metrics.Counter
	// Sent counts datagrams sent towards callers, including those whose sending fails.
	Sent metrics.Counter
	// Unauthentic counts received datagrams dropped because Sealer.Open failed.
	Unauthentic metrics.Counter
	// WrongService counts received datagrams dropped because they are of another service or of an
	// unexpected kind.
	WrongService metrics.Counter
	// OtherIncarnation counts received datagrams for another incarnation of the sidecar. They are
	// not dropped.
	OtherIncarnation metrics.Counter
	// Oversized counts datagrams not sent because they are larger than MaxPayload.
	Oversized metrics.Counter
	// NoPath counts datagrams not sent because no balancer is known.
	NoPath metrics.Counter
}

// NewCounters returns counters that are registered in r.
func NewCounters(r metrics.Registry) *Counters {
	return &Counters{
		Received:         metrics.NewRegisteredCounter("tunnel.received", r),
		Sent:             metrics.NewRegisteredCounter("tunnel.sent", r),
		Unauthentic:      metrics.NewRegisteredCounter("tunnel.dropped.unauthentic", r),
		WrongService:     metrics.NewRegisteredCounter("tunnel.dropped.wrong-service", r),
		OtherIncarnation: metrics.NewRegisteredCounter("tunnel.other-incarnation", r),
		Oversized:        metrics.NewRegisteredCounter("tunnel.dropped.oversized", r),
		NoPath:           metrics.NewRegisteredCounter("tunnel.dropped.no-path", r),
	}
}

// path is a balancer through which datagrams can be sent to callers. Its times are in nanoseconds
// since Conn.start.
type path struct {
	addr            netip.AddrPort
	lastReceived    atomic.Int64 // when the last datagram was received from the balancer
	probeSentAt     atomic.Int64 // when the unanswered probe was sent, or 0; reprobe sets an earlier time
	unansweredSince atomic.Int64 // when the first datagram after lastReceived was sent, or 0
}

// Conn is a net.PacketConn that exchanges datagrams with callers through the balancers. A sidecar's
// QUIC transport reads from it and writes to it. Addresses in its methods are those of callers.
type Conn struct {
	log      *slog.Logger
	udp      *net.UDPConn
	endpoint Endpoint
	start    time.Time
	counters *Counters
	sealer   atomic.Pointer[Sealer]
	// paths is replaced when a path is added or removed; the slice is never modified.
	paths atomic.Pointer[[]*path]
	// buffers contains *[]byte of MaxDatagram+1 bytes, each for one datagram.
	buffers sync.Pool

	mu sync.Mutex // serializes changes of paths
}

// Listen returns a connection on addr that receives the datagrams of endpoint, and a function that
// closes it.
func Listen(log *slog.Logger, addr netip.AddrPort, endpoint Endpoint, sealer *Sealer, counters *Counters) (*Conn, func(), error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, errors.Wrap(err, "tunnel.Listen")
	}
	// Smaller buffers are accepted: the kernel limits the sizes.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	c := &Conn{log: log, udp: udp, endpoint: endpoint, start: time.Now(), counters: counters}
	c.buffers.New = func() any {
		b := make([]byte, MaxDatagram+1)
		return &b
	}
	c.sealer.Store(sealer)
	c.paths.Store(&[]*path{})
	return c, func() { udp.Close() }, nil
}

// SetSealer replaces the keys that authenticate datagrams.
func (c *Conn) SetSealer(s *Sealer) { c.sealer.Store(s) }

// SetBalancers replaces the balancers through which datagrams are sent to callers, by their tunnel
// addresses. Balancers that stay keep their probing state.
func (c *Conn) SetBalancers(addrs []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.paths.Load()
	var paths []*path
	for _, a := range addrs {
		p := findPath(old, a)
		if p == nil {
			p = &path{addr: a}
		}
		paths = append(paths, p)
	}
	c.paths.Store(&paths)
}

// findPath returns the path through the balancer at addr, or nil.
func findPath(paths []*path, addr netip.AddrPort) *path {
	for _, p := range paths {
		if p.addr == addr {
			return p
		}
	}
	return nil
}

// now returns the time in nanoseconds since c.start.
func (c *Conn) now() int64 { return int64(time.Since(c.start)) }

// ReadFrom implements net.PacketConn. The address returned is the caller's.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	buf := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buf)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(*buf)
		if err != nil {
			return 0, nil, err
		}
		h, ok := c.openInbound((*buf)[:n], unmap(from))
		if !ok {
			continue
		}
		c.counters.Received.Inc(1)
		return copy(p, (*buf)[HeaderLen:n]), net.UDPAddrFromAddrPort(h.Caller), nil
	}
}

// unmap turns an IPv4-mapped IPv6 address into an IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// openInbound authenticates a datagram received from a balancer. It reports whether the datagram
// carries a payload for this sidecar's service.
func (c *Conn) openInbound(datagram []byte, from netip.AddrPort) (Header, bool) {
	h, err := c.sealer.Load().Open(datagram)
	if err != nil {
		c.counters.Unauthentic.Inc(1)
		return Header{}, false
	}
	c.recordReceived(from)
	if h.Kind == KindProbeAnswer {
		return Header{}, false
	}
	if h.Kind != KindInbound || h.ServiceTag != c.endpoint.ServiceTag {
		c.counters.WrongService.Inc(1)
		return Header{}, false
	}
	if h.Incarnation != c.endpoint.Incarnation {
		// The QUIC transport answers packets of unknown connections with a stateless reset, so
		// that callers detect the end of their connections to a previous incarnation.
		c.counters.OtherIncarnation.Inc(1)
	}
	return h, true
}

// recordReceived records that a datagram was received from the balancer at from, which shows that the
// path through it works. It adds the path if it is new.
func (c *Conn) recordReceived(from netip.AddrPort) {
	p := findPath(*c.paths.Load(), from)
	if p == nil {
		c.addPath(from)
		return
	}
	p.lastReceived.Store(c.now())
	p.probeSentAt.Store(0)
	p.unansweredSince.Store(0)
}

// addPath adds a path through the balancer at from. A balancer that forwards an authentic datagram
// is usable, even if SetBalancers has not been called with it yet.
func (c *Conn) addPath(from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.paths.Load()
	if findPath(old, from) != nil || len(old) >= maxLearnedPaths {
		return
	}
	p := &path{addr: from}
	p.lastReceived.Store(c.now())
	paths := append(append([]*path{}, old...), p)
	c.paths.Store(&paths)
}

// maxLearnedPaths is the number of paths at which addPath stops adding paths.
const maxLearnedPaths = 16

// WriteTo implements net.PacketConn. It sends p to the caller at addr through the balancer that
// choosePath returns.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if len(p) > MaxPayload {
		// Drop p without an error, as a link would, so that path MTU discovery finds the limit.
		c.counters.Oversized.Inc(1)
		return len(p), nil
	}
	caller := unmap(addr.(*net.UDPAddr).AddrPort())
	chosen := c.choosePath(caller)
	if chosen == nil {
		c.counters.NoPath.Inc(1)
		return len(p), nil
	}
	buf := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buf)
	datagram := (*buf)[:HeaderLen+len(p)]
	copy(datagram[HeaderLen:], p)
	h := Header{
		Kind:        KindOutbound,
		ServiceTag:  c.endpoint.ServiceTag,
		Incarnation: c.endpoint.Incarnation,
		Caller:      caller,
	}
	if err := c.sealer.Load().Seal(datagram, &h); err != nil {
		return 0, err
	}
	if _, err := c.udp.WriteToUDPAddrPort(datagram, chosen.addr); err != nil && errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	c.counters.Sent.Inc(1)
	return len(p), nil
}

// choosePath returns the path for datagrams to a caller, or nil if no balancer is known. It selects
// the same balancer for a caller each time, so that datagrams keep their order, unless that balancer
// did not answer a probe within probeTimeout. If no path is usable, it returns a random one.
func (c *Conn) choosePath(caller netip.AddrPort) *path {
	paths := *c.paths.Load()
	if len(paths) == 0 {
		return nil
	}
	now := c.now()
	first := int(callerHash(caller) % uint32(len(paths)))
	for i := range paths {
		p := paths[(first+i)%len(paths)]
		if c.tryUse(p, now) {
			return p
		}
	}
	return paths[rand.IntN(len(paths))]
}

// callerHash returns the FNV-1a hash of a caller's address.
func callerHash(a netip.AddrPort) uint32 {
	ip := a.Addr().As4()
	h := uint32(2166136261)
	for _, b := range [6]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port())} {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}

// tryUse reports whether a datagram may be sent through p at the time now: it may unless a probe has
// been unanswered for probeTimeout. In the latter case, it repeats the probe after reprobeInterval.
// Without an unanswered probe, it sets unansweredSince if that is 0, and sends a probe if that is more
// than probeAfter ago.
func (c *Conn) tryUse(p *path, now int64) bool {
	if sentAt := p.probeSentAt.Load(); sentAt != 0 {
		if now-sentAt < int64(probeTimeout) {
			return true
		}
		c.reprobe(p, now, sentAt)
		return false
	}
	unansweredSince := p.unansweredSince.Load()
	if unansweredSince == 0 {
		p.unansweredSince.CompareAndSwap(0, now)
		return true
	}
	if now-unansweredSince > int64(probeAfter) && p.probeSentAt.CompareAndSwap(0, now) {
		c.probe(p)
	}
	return true
}

// reprobeInterval is the time between probes of a path that is not in use.
const reprobeInterval = 500 * time.Millisecond

// reprobe probes a path that is not in use, at most once per reprobeInterval. It sets probeSentAt to
// probeTimeout before now, so that the path stays out of use until a datagram is received from its
// balancer.
func (c *Conn) reprobe(p *path, now, sentAt int64) {
	if now-sentAt < int64(probeTimeout+reprobeInterval) {
		return
	}
	if p.probeSentAt.CompareAndSwap(sentAt, now-int64(probeTimeout)) {
		c.probe(p)
	}
}

// probe sends a probe to the balancer of p.
func (c *Conn) probe(p *path) {
	datagram := make([]byte, HeaderLen)
	h := Header{Kind: KindProbe, ServiceTag: c.endpoint.ServiceTag, Incarnation: c.endpoint.Incarnation, Caller: p.addr}
	if err := c.sealer.Load().Seal(datagram, &h); err != nil {
		return
	}
	// A failed write has the effect of a lost probe: there is no answer.
	_, _ = c.udp.WriteToUDPAddrPort(datagram, p.addr)
}

// Close implements net.PacketConn.
func (c *Conn) Close() error { return c.udp.Close() }

// LocalAddr implements net.PacketConn.
func (c *Conn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *Conn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the kernel's receive buffer.
func (c *Conn) SetReadBuffer(n int) error { return c.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the kernel's send buffer.
func (c *Conn) SetWriteBuffer(n int) error { return c.udp.SetWriteBuffer(n) }

// SyscallConn returns the raw socket, which quic-go uses to inspect the size of its buffers.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.udp.SyscallConn() }
