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
	// pathSilence is how long a balancer may be silent while datagrams are sent
	// through it before it is probed.
	pathSilence = 250 * time.Millisecond
	// probeTimeout is how long an unanswered probe leaves a path in use.
	probeTimeout = 150 * time.Millisecond
	// socketBuffer is the size in bytes of the socket's kernel buffers.
	socketBuffer = 4 << 20
)

// Endpoint is what a sidecar serves: datagrams for anything else are refused.
type Endpoint struct {
	ServiceTag  uint32
	Incarnation uint16
}

// Counters count the datagrams of a sidecar's tunnel.
type Counters struct {
	Received         metrics.Counter
	Sent             metrics.Counter
	Unauthentic      metrics.Counter
	WrongService     metrics.Counter
	OtherIncarnation metrics.Counter
	Oversized        metrics.Counter
	NoPath           metrics.Counter
}

// NewCounters registers the counters in r.
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

// path is one balancer as a way back to callers.
type path struct {
	addr     netip.AddrPort
	heard    atomic.Int64 // nanoseconds since the start of the connection
	probed   atomic.Int64 // zero, or when the outstanding probe was sent
	silentAt atomic.Int64 // when the first datagram since heard was sent
}

// Conn is a net.PacketConn whose datagrams travel through the balancers. It is
// what a sidecar's QUIC transport reads and writes; addresses are callers'.
type Conn struct {
	log      *slog.Logger
	udp      *net.UDPConn
	local    Endpoint
	start    time.Time
	counters *Counters
	sealer   atomic.Pointer[Sealer]
	paths    atomic.Pointer[[]*path]
	buffers  sync.Pool

	mu sync.Mutex // orders changes of paths
}

// Listen returns a connection on addr that serves local, and its clean-up function.
func Listen(log *slog.Logger, addr netip.AddrPort, local Endpoint, sealer *Sealer, counters *Counters) (*Conn, func(), error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, errors.Wrap(err, "tunnel.Listen")
	}
	// The kernel caps these at its own limits, which is not a failure.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	c := &Conn{log: log, udp: udp, local: local, start: time.Now(), counters: counters}
	c.buffers.New = func() any {
		b := make([]byte, MaxDatagram+1)
		return &b
	}
	c.sealer.Store(sealer)
	c.paths.Store(&[]*path{})
	return c, func() { udp.Close() }, nil
}

// SetSealer replaces the keys.
func (c *Conn) SetSealer(s *Sealer) { c.sealer.Store(s) }

// SetBalancers replaces the balancers that may carry datagrams to callers. What
// is known of those that stay is kept.
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

func findPath(paths []*path, addr netip.AddrPort) *path {
	for _, p := range paths {
		if p.addr == addr {
			return p
		}
	}
	return nil
}

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
		h, ok := c.accept((*buf)[:n], unmap(from))
		if !ok {
			continue
		}
		c.counters.Received.Inc(1)
		return copy(p, (*buf)[HeaderLen:n]), net.UDPAddrFromAddrPort(h.Caller), nil
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (c *Conn) accept(datagram []byte, from netip.AddrPort) (Header, bool) {
	h, err := c.sealer.Load().Open(datagram)
	if err != nil {
		c.counters.Unauthentic.Inc(1)
		return Header{}, false
	}
	c.noteHeard(from)
	if h.Kind == KindProbeAnswer {
		return Header{}, false
	}
	if h.Kind != KindInbound || h.ServiceTag != c.local.ServiceTag {
		c.counters.WrongService.Inc(1)
		return Header{}, false
	}
	if h.Incarnation != c.local.Incarnation {
		// The QUIC transport answers what it does not know with a stateless reset,
		// so that callers of the former incarnation learn that it is gone.
		c.counters.OtherIncarnation.Inc(1)
	}
	return h, true
}

func (c *Conn) noteHeard(from netip.AddrPort) {
	p := findPath(*c.paths.Load(), from)
	if p == nil {
		c.addPath(from)
		return
	}
	p.heard.Store(c.now())
	p.probed.Store(0)
	p.silentAt.Store(0)
}

// A balancer that forwards an authentic datagram is alive, even if nobody has
// announced it yet.
func (c *Conn) addPath(from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.paths.Load()
	if findPath(old, from) != nil || len(old) >= maxPaths {
		return
	}
	p := &path{addr: from}
	p.heard.Store(c.now())
	paths := append(append([]*path{}, old...), p)
	c.paths.Store(&paths)
}

// maxPaths bounds the balancers that one sidecar answers through.
const maxPaths = 16

// WriteTo implements net.PacketConn: it sends p to the caller at addr through a
// balancer that is alive.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if len(p) > MaxPayload {
		// Dropped as a link would drop it, so that path MTU discovery sees the limit.
		c.counters.Oversized.Inc(1)
		return len(p), nil
	}
	caller := unmap(addr.(*net.UDPAddr).AddrPort())
	via := c.choose(caller)
	if via == nil {
		c.counters.NoPath.Inc(1)
		return len(p), nil
	}
	buf := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buf)
	datagram := (*buf)[:HeaderLen+len(p)]
	copy(datagram[HeaderLen:], p)
	h := Header{
		Kind:        KindOutbound,
		ServiceTag:  c.local.ServiceTag,
		Incarnation: c.local.Incarnation,
		Caller:      caller,
	}
	if err := c.sealer.Load().Seal(datagram, &h); err != nil {
		return 0, err
	}
	if _, err := c.udp.WriteToUDPAddrPort(datagram, via.addr); err != nil && errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	c.counters.Sent.Inc(1)
	return len(p), nil
}

// choose prefers one balancer a caller, so that datagrams keep their order, and
// moves on while that one's probe is unanswered.
func (c *Conn) choose(caller netip.AddrPort) *path {
	paths := *c.paths.Load()
	if len(paths) == 0 {
		return nil
	}
	now := c.now()
	first := int(callerHash(caller) % uint32(len(paths)))
	for i := range paths {
		p := paths[(first+i)%len(paths)]
		if c.usable(p, now) {
			return p
		}
	}
	return paths[rand.IntN(len(paths))]
}

func callerHash(a netip.AddrPort) uint32 {
	ip := a.Addr().As4()
	h := uint32(2166136261)
	for _, b := range [6]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port())} {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}

func (c *Conn) usable(p *path, now int64) bool {
	if probed := p.probed.Load(); probed != 0 {
		if now-probed < int64(probeTimeout) {
			return true
		}
		c.reprobe(p, now, probed)
		return false
	}
	since := p.silentAt.Load()
	if since == 0 {
		p.silentAt.CompareAndSwap(0, now)
		return true
	}
	if now-since > int64(pathSilence) && p.probed.CompareAndSwap(0, now) {
		c.probe(p)
	}
	return true
}

// reprobeInterval is the time between probes of a path that is out of use.
const reprobeInterval = 500 * time.Millisecond

// A path out of use is probed again now and then, and is used again as soon as
// anything is heard from it. The mark stays old enough to keep it out of use.
func (c *Conn) reprobe(p *path, now, probed int64) {
	if now-probed < int64(probeTimeout+reprobeInterval) {
		return
	}
	if p.probed.CompareAndSwap(probed, now-int64(probeTimeout)) {
		c.probe(p)
	}
}

func (c *Conn) probe(p *path) {
	datagram := make([]byte, HeaderLen)
	h := Header{Kind: KindProbe, ServiceTag: c.local.ServiceTag, Incarnation: c.local.Incarnation, Caller: p.addr}
	if err := c.sealer.Load().Seal(datagram, &h); err != nil {
		return
	}
	// A lost probe looks like an unanswered one.
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

// SyscallConn gives access to the socket, by which its buffers are inspected.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.udp.SyscallConn() }
