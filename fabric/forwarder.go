package fabric

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"

	"greengagedyke/tunnel"
)

const (
	// batchSize is the number of datagrams read or written by one system call.
	batchSize = 32
	// socketBuffer is the size in bytes of a socket's kernel buffers.
	socketBuffer = 4 << 20
)

// Counters count forwarded and dropped datagrams.
type Counters struct {
	Inbound     metrics.Counter
	Outbound    metrics.Counter
	FirstFlight metrics.Counter
	Dropped     [dropCount]metrics.Counter
}

// NewCounters registers the counters in r.
func NewCounters(r metrics.Registry) *Counters {
	c := &Counters{
		Inbound:     metrics.NewRegisteredCounter("forward.inbound", r),
		Outbound:    metrics.NewRegisteredCounter("forward.outbound", r),
		FirstFlight: metrics.NewRegisteredCounter("forward.first-flight", r),
	}
	for i := range c.Dropped {
		c.Dropped[i] = metrics.NewRegisteredCounter("forward.dropped."+dropNames[i], r)
	}
	return c
}

// Binding is one service as the forwarder serves it.
type Binding struct {
	Address netip.AddrPort
	Decider *Decider
	Sealer  *tunnel.Sealer
}

// Bindings are all services of a forwarder.
type Bindings []Binding

type door struct {
	address netip.AddrPort
	conn    *ipv4.PacketConn
	close   func() error
	done    chan struct{}
	binding atomic.Pointer[Binding]
}

// Forwarder moves datagrams between the services' addresses and the sidecars.
type Forwarder struct {
	log      *slog.Logger
	counters *Counters
	tunnel   *ipv4.PacketConn
	local    netip.AddrPort
	sealer   atomic.Pointer[tunnel.Sealer]
	done     chan struct{}

	mu    sync.Mutex
	doors map[netip.AddrPort]*door
	byTag atomic.Pointer[map[uint32]*door]
}

// New returns a forwarder that reaches sidecars from tunnelAddr, and a clean-up
// function that closes its sockets and waits for its goroutines.
func New(log *slog.Logger, counters *Counters, tunnelAddr netip.AddrPort, sealer *tunnel.Sealer) (*Forwarder, func(), error) {
	conn, err := listen(tunnelAddr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "fabric.New")
	}
	f := &Forwarder{
		log:      log,
		counters: counters,
		tunnel:   ipv4.NewPacketConn(conn),
		local:    conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		done:     make(chan struct{}),
		doors:    map[netip.AddrPort]*door{},
	}
	f.sealer.Store(sealer)
	f.byTag.Store(&map[uint32]*door{})
	ctx, cancel := context.WithCancel(context.Background())
	go f.runOutbound(ctx)
	return f, func() { cancel(); f.close(conn) }, nil
}

func (f *Forwarder) close(conn *net.UDPConn) {
	conn.Close()
	<-f.done
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.doors {
		d.close()
		<-d.done
	}
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// The kernel caps these at its own limits, which is not a failure.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// LocalAddr is the address from which sidecars are reached.
func (f *Forwarder) LocalAddr() netip.AddrPort { return f.local }

// Apply puts bindings in force: it opens and closes sockets so that each
// binding has one, and replaces the decisions of those that stay.
func (f *Forwarder) Apply(bindings Bindings, sealer *tunnel.Sealer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealer.Store(sealer)
	wanted := map[netip.AddrPort]bool{}
	byTag := map[uint32]*door{}
	var firstErr error
	for i := range bindings {
		b := &bindings[i]
		wanted[b.Address] = true
		d, err := f.door(b)
		if err != nil {
			f.log.Error("service-socket-failed", "address", b.Address.String(), "error", err.Error())
			firstErr = errors.Wrapf(err, "fabric.Forwarder.Apply: address %s", b.Address)
			continue
		}
		byTag[b.Decider.Tag] = d
	}
	f.byTag.Store(&byTag)
	for address, d := range f.doors {
		if wanted[address] {
			continue
		}
		d.close()
		delete(f.doors, address)
	}
	return firstErr
}

func (f *Forwarder) door(b *Binding) (*door, error) {
	if d, ok := f.doors[b.Address]; ok {
		d.binding.Store(b)
		return d, nil
	}
	conn, err := listen(b.Address)
	if err != nil {
		return nil, err
	}
	d := &door{
		address: b.Address,
		conn:    ipv4.NewPacketConn(conn),
		close:   conn.Close,
		done:    make(chan struct{}),
	}
	d.binding.Store(b)
	f.doors[b.Address] = d
	go f.runInbound(context.Background(), d)
	return d, nil
}

// batch is a set of buffers that are read into behind the room for a tunnel
// header, and written out with the header in place, so that no payload is copied.
type batch struct {
	in      []ipv4.Message
	out     []ipv4.Message
	buffers [][]byte
	addrs   []net.UDPAddr
	scratch Scratch
}

func newBatch(offset, size int) *batch {
	b := &batch{
		in:      make([]ipv4.Message, batchSize),
		out:     make([]ipv4.Message, batchSize),
		buffers: make([][]byte, batchSize),
		addrs:   make([]net.UDPAddr, batchSize),
	}
	for i := range b.in {
		b.buffers[i] = make([]byte, offset+size)
		b.in[i].Buffers = [][]byte{b.buffers[i][offset:]}
		b.out[i].Buffers = make([][]byte, 1)
		b.addrs[i].IP = make(net.IP, net.IPv4len)
		b.out[i].Addr = &b.addrs[i]
	}
	return b
}

func (b *batch) setOut(n int, datagram []byte, to netip.AddrPort) {
	b.out[n].Buffers[0] = datagram
	ip := to.Addr().As4()
	copy(b.addrs[n].IP, ip[:])
	b.addrs[n].Port = int(to.Port())
}

// Reading one byte more than fits shows that a datagram is too large.
func (f *Forwarder) runInbound(ctx context.Context, d *door) {
	defer close(d.done)
	b := newBatch(tunnel.HeaderLen, tunnel.MaxPayload+1)
	for ctx.Err() == nil {
		n, err := d.conn.ReadBatch(b.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m := f.inbound(d.binding.Load(), b, n)
		f.send(f.tunnel, b, m)
	}
}

func (f *Forwarder) inbound(binding *Binding, b *batch, n int) int {
	m := 0
	for i := range n {
		datagram := b.buffers[i][:tunnel.HeaderLen+b.in[i].N]
		to, drop := binding.Decider.Decide(&b.scratch, datagram[tunnel.HeaderLen:])
		if drop != DropNone {
			f.counters.Dropped[drop].Inc(1)
			continue
		}
		if to.FirstFlight {
			f.counters.FirstFlight.Inc(1)
		}
		h := tunnel.Header{
			Kind:        tunnel.KindInbound,
			ServiceTag:  binding.Decider.Tag,
			Incarnation: to.Incarnation,
			Caller:      addrPort(b.in[i].Addr),
		}
		if err := binding.Sealer.Seal(datagram, &h); err != nil {
			f.counters.Dropped[DropOversized].Inc(1)
			continue
		}
		b.setOut(m, datagram, to.Sidecar)
		m++
	}
	f.counters.Inbound.Inc(int64(m))
	return m
}

func addrPort(a net.Addr) netip.AddrPort {
	u := a.(*net.UDPAddr)
	ip, _ := netip.AddrFromSlice(u.IP)
	return netip.AddrPortFrom(ip.Unmap(), uint16(u.Port))
}

func (f *Forwarder) send(conn *ipv4.PacketConn, b *batch, m int) {
	for sent := 0; sent < m; {
		n, err := conn.WriteBatch(b.out[sent:m], 0)
		if err != nil || n <= 0 {
			f.counters.Dropped[DropSend].Inc(1)
			sent++
			continue
		}
		sent += n
	}
}

func (f *Forwarder) runOutbound(ctx context.Context) {
	defer close(f.done)
	b := newBatch(0, tunnel.MaxDatagram+1)
	for ctx.Err() == nil {
		n, err := f.tunnel.ReadBatch(b.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.outbound(b, n)
	}
}

// Datagrams of the same service that follow one another leave in one call.
func (f *Forwarder) outbound(b *batch, n int) {
	sealer := f.sealer.Load()
	byTag := *f.byTag.Load()
	var current *door
	m := 0
	for i := range n {
		datagram := b.buffers[i][:b.in[i].N]
		h, err := sealer.Open(datagram)
		if err != nil {
			f.counters.Dropped[DropUnauthentic].Inc(1)
			continue
		}
		if h.Kind == tunnel.KindProbe {
			f.answerProbe(sealer, h, addrPort(b.in[i].Addr))
			continue
		}
		d := byTag[h.ServiceTag]
		if d == nil || h.Kind != tunnel.KindOutbound {
			f.counters.Dropped[DropUnknownService].Inc(1)
			continue
		}
		if d != current && m > 0 {
			f.flush(current, b, m)
			m = 0
		}
		current = d
		b.setOut(m, datagram[tunnel.HeaderLen:], h.Caller)
		m++
	}
	if m > 0 {
		f.flush(current, b, m)
	}
}

func (f *Forwarder) flush(d *door, b *batch, m int) {
	f.counters.Outbound.Inc(int64(m))
	f.send(d.conn, b, m)
}

func (f *Forwarder) answerProbe(sealer *tunnel.Sealer, h tunnel.Header, from netip.AddrPort) {
	answer := make([]byte, tunnel.HeaderLen)
	h.Kind = tunnel.KindProbeAnswer
	if err := sealer.Seal(answer, &h); err != nil {
		return
	}
	m := ipv4.Message{Buffers: [][]byte{answer}, Addr: net.UDPAddrFromAddrPort(from)}
	if _, err := f.tunnel.WriteBatch([]ipv4.Message{m}, 0); err != nil {
		f.counters.Dropped[DropSend].Inc(1)
	}
}
