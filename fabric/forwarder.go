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
	Dropped     [dropReasonCount]metrics.Counter
}

// NewCounters registers the counters in r.
func NewCounters(r metrics.Registry) *Counters {
	c := &Counters{
		Inbound:     metrics.NewRegisteredCounter("forward.inbound", r),
		Outbound:    metrics.NewRegisteredCounter("forward.outbound", r),
		FirstFlight: metrics.NewRegisteredCounter("forward.first-flight", r),
	}
	for i := range c.Dropped {
		c.Dropped[i] = metrics.NewRegisteredCounter("forward.dropped."+dropReasonNames[i], r)
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
	udp     *net.UDPConn
	conn    *ipv4.PacketConn
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
	// Reading one byte more than fits shows that a datagram is too large.
	b, err := newBatch(conn, 0, tunnel.MaxDatagram+1)
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "fabric.New")
	}
	ctx, cancel := context.WithCancel(context.Background())
	go f.runOutbound(ctx, b)
	return f, func() { cancel(); f.close(conn) }, nil
}

func (f *Forwarder) close(conn *net.UDPConn) {
	conn.Close()
	<-f.done
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.doors {
		d.udp.Close()
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
		d.udp.Close()
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
	batch, err := newBatch(conn, tunnel.HeaderLen, tunnel.MaxPayload+1)
	if err != nil {
		conn.Close()
		return nil, err
	}
	d := &door{
		address: b.Address,
		udp:     conn,
		conn:    ipv4.NewPacketConn(conn),
		done:    make(chan struct{}),
	}
	d.binding.Store(b)
	f.doors[b.Address] = d
	go f.runInbound(context.Background(), d, batch)
	return d, nil
}

// batch is a set of buffers that are read into behind the room for a tunnel
// header, and written out with the header in place, so that no payload is copied.
type batch struct {
	in      *receiver
	out     []ipv4.Message
	buffers [][]byte
	addrs   []net.UDPAddr
	scratch Scratch
}

// newBatch returns a batch that reads from conn, if that is given, at an offset into
// its buffers.
func newBatch(conn *net.UDPConn, offset, size int) (*batch, error) {
	b := &batch{
		out:     make([]ipv4.Message, batchSize),
		buffers: make([][]byte, batchSize),
		addrs:   make([]net.UDPAddr, batchSize),
	}
	room := make([][]byte, batchSize)
	for i := range b.out {
		b.buffers[i] = make([]byte, offset+size)
		room[i] = b.buffers[i][offset:]
		b.out[i].Buffers = make([][]byte, 1)
		b.addrs[i].IP = make(net.IP, net.IPv4len)
		b.out[i].Addr = &b.addrs[i]
	}
	if conn == nil {
		return b, nil
	}
	var err error
	b.in, err = newReceiver(conn, room)
	return b, err
}

func (b *batch) setOut(n int, datagram []byte, to netip.AddrPort) {
	b.out[n].Buffers[0] = datagram
	ip := to.Addr().As4()
	copy(b.addrs[n].IP, ip[:])
	b.addrs[n].Port = int(to.Port())
}

// run reads batches and handles them until the socket is closed or ctx ends.
func (b *batch) run(ctx context.Context, handle func(n int)) {
	for ctx.Err() == nil {
		n, err := b.in.receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(n)
		}
	}
}

func (f *Forwarder) runInbound(ctx context.Context, d *door, b *batch) {
	defer close(d.done)
	b.run(ctx, func(n int) {
		m := f.inbound(d.binding.Load(), b, n)
		f.send(f.tunnel, b, m)
	})
}

func (f *Forwarder) inbound(binding *Binding, b *batch, n int) int {
	m := 0
	for i := range n {
		datagram := b.buffers[i][:tunnel.HeaderLen+b.in.length(i)]
		to, drop := binding.Decider.Decide(&b.scratch, datagram[tunnel.HeaderLen:])
		if drop != DropReasonNone {
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
			Caller:      b.in.sender(i),
		}
		if err := binding.Sealer.Seal(datagram, &h); err != nil {
			f.counters.Dropped[DropReasonOversized].Inc(1)
			continue
		}
		b.setOut(m, datagram, to.Sidecar)
		m++
	}
	f.counters.Inbound.Inc(int64(m))
	return m
}

func (f *Forwarder) send(conn *ipv4.PacketConn, b *batch, m int) {
	for sent := 0; sent < m; {
		n, err := conn.WriteBatch(b.out[sent:m], 0)
		if err != nil || n <= 0 {
			f.counters.Dropped[DropReasonSend].Inc(1)
			sent++
			continue
		}
		sent += n
	}
}

func (f *Forwarder) runOutbound(ctx context.Context, b *batch) {
	defer close(f.done)
	b.run(ctx, func(n int) { f.outbound(b, n) })
}

// Datagrams of the same service that follow one another leave in one call.
func (f *Forwarder) outbound(b *batch, n int) {
	sealer := f.sealer.Load()
	byTag := *f.byTag.Load()
	var current *door
	m := 0
	for i := range n {
		datagram := b.buffers[i][:b.in.length(i)]
		h, err := sealer.Open(datagram)
		if err != nil {
			f.counters.Dropped[DropReasonUnauthentic].Inc(1)
			continue
		}
		if h.Kind == tunnel.KindProbe {
			f.answerProbe(sealer, h, b.in.sender(i))
			continue
		}
		d := byTag[h.ServiceTag]
		if d == nil || h.Kind != tunnel.KindOutbound {
			f.counters.Dropped[DropReasonUnknownService].Inc(1)
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
		f.counters.Dropped[DropReasonSend].Inc(1)
	}
}
