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
	"golang.org/x/time/rate"

	"greengagedyke/tunnel"
)

const (
	// batchSize is the largest number of datagrams read or written by one system call.
	batchSize = 32
	// socketBuffer is the size in bytes of a socket's kernel buffers.
	socketBuffer = 4 << 20
)

// Counters count forwarded and dropped datagrams.
type Counters struct {
	// Inbound counts datagrams forwarded to sidecars, including those whose sending fails.
	Inbound metrics.Counter
	// Outbound counts datagrams forwarded to callers, including those whose sending fails.
	Outbound metrics.Counter
	// FirstFlight counts inbound datagrams whose connection ID the caller chose.
	FirstFlight metrics.Counter
	// Dropped counts dropped datagrams by DropReason.
	Dropped [dropReasonCount]metrics.Counter
}

// NewCounters returns counters that are registered in r.
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

// Binding is a service that a forwarder serves.
type Binding struct {
	// Address is the service's address, on which callers' datagrams are received.
	Address netip.AddrPort
	// Decider chooses the sidecar of each datagram.
	Decider *Decider
	// Sealer authenticates the datagrams sent to sidecars.
	Sealer *tunnel.Sealer
}

// Bindings are the bindings of all services of a forwarder.
type Bindings []Binding

// serviceSocket is the socket on a service's address, and the current binding of the service.
type serviceSocket struct {
	address netip.AddrPort
	udpConn *net.UDPConn
	// packetConn wraps udpConn to write batches of datagrams.
	packetConn *ipv4.PacketConn
	// done is closed when the goroutine that reads the socket has ended.
	done    chan struct{}
	binding atomic.Pointer[Binding]
	// refusals limits how often first flights are refused.
	refusals *rate.Limiter
}

// Forwarder forwards datagrams between the services' addresses and the sidecars.
type Forwarder struct {
	log      *slog.Logger
	counters *Counters
	// tunnelConn is the socket on which tunnel datagrams are exchanged with sidecars.
	tunnelConn *ipv4.PacketConn
	localAddr  netip.AddrPort
	// sealer opens the tunnel datagrams of sidecars and seals the answers to their probes.
	sealer atomic.Pointer[tunnel.Sealer]
	// done is closed when the goroutine that reads the tunnel socket has ended.
	done chan struct{}

	mu sync.Mutex
	// sockets are the open service sockets by address.
	sockets map[netip.AddrPort]*serviceSocket
	// byTag holds the same sockets by service tag. It is replaced, never modified.
	byTag atomic.Pointer[map[uint32]*serviceSocket]
}

// New returns a forwarder that exchanges tunnel datagrams with sidecars on tunnelAddr, and a
// function that closes its sockets and waits for its goroutines. The sealer authenticates the
// datagrams of sidecars.
func New(log *slog.Logger, counters *Counters, tunnelAddr netip.AddrPort, sealer *tunnel.Sealer) (*Forwarder, func(), error) {
	conn, err := listen(tunnelAddr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "fabric.New")
	}
	f := &Forwarder{
		log:        log,
		counters:   counters,
		tunnelConn: ipv4.NewPacketConn(conn),
		localAddr:  conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		done:       make(chan struct{}),
		sockets:    map[netip.AddrPort]*serviceSocket{},
	}
	f.sealer.Store(sealer)
	f.byTag.Store(&map[uint32]*serviceSocket{})
	// The extra byte keeps a larger datagram from being truncated to MaxDatagram bytes.
	b, err := newBatch(conn, 0, tunnel.MaxDatagram+1)
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "fabric.New")
	}
	ctx, cancel := context.WithCancel(context.Background())
	go f.runOutbound(ctx, b)
	return f, func() { cancel(); f.close(conn) }, nil
}

// close closes the tunnel socket conn and the service sockets, and waits for the goroutines
// that read them.
func (f *Forwarder) close(conn *net.UDPConn) {
	conn.Close()
	<-f.done
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, socket := range f.sockets {
		socket.udpConn.Close()
		<-socket.done
	}
}

// listen opens a UDP socket with large kernel buffers.
func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// Smaller buffers are accepted: the kernel limits the sizes.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// LocalAddr returns the address on which the forwarder exchanges tunnel datagrams with sidecars.
func (f *Forwarder) LocalAddr() netip.AddrPort { return f.localAddr }

// Apply replaces the bindings, and the sealer that authenticates the datagrams of sidecars. It opens
// a socket for each new address and closes those of addresses without a binding. If sockets cannot be
// opened, it applies the other bindings and returns the last error.
func (f *Forwarder) Apply(bindings Bindings, sealer *tunnel.Sealer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealer.Store(sealer)
	wanted := map[netip.AddrPort]bool{}
	byTag := map[uint32]*serviceSocket{}
	var lastErr error
	for i := range bindings {
		b := &bindings[i]
		wanted[b.Address] = true
		socket, err := f.bind(b)
		if err != nil {
			f.log.Error("service-socket-failed", "address", b.Address.String(), "error", err.Error())
			lastErr = errors.Wrapf(err, "fabric.Forwarder.Apply: address %s", b.Address)
			continue
		}
		byTag[b.Decider.Tag] = socket
	}
	f.byTag.Store(&byTag)
	for address, socket := range f.sockets {
		if wanted[address] {
			continue
		}
		socket.udpConn.Close()
		delete(f.sockets, address)
	}
	return lastErr
}

// bind sets b as the binding of the socket on b.Address, and opens the socket if it is not open. mu
// must be locked.
func (f *Forwarder) bind(b *Binding) (*serviceSocket, error) {
	if socket, ok := f.sockets[b.Address]; ok {
		socket.binding.Store(b)
		return socket, nil
	}
	conn, err := listen(b.Address)
	if err != nil {
		return nil, err
	}
	// The extra byte lets Decide detect larger payloads, which are truncated to this size.
	batch, err := newBatch(conn, tunnel.HeaderLen, tunnel.MaxPayload+1)
	if err != nil {
		conn.Close()
		return nil, err
	}
	socket := &serviceSocket{
		address:    b.Address,
		udpConn:    conn,
		packetConn: ipv4.NewPacketConn(conn),
		done:       make(chan struct{}),
		refusals:   newRefusalLimit(),
	}
	socket.binding.Store(b)
	f.sockets[b.Address] = socket
	go f.runInbound(context.Background(), socket, batch)
	return socket, nil
}

// batch is a set of buffers for receiving datagrams and sending them on. Datagrams of callers are
// received at an offset that leaves space for the tunnel header, so that no payload is copied.
type batch struct {
	// receiver fills buffers; nil in a batch for sending only.
	receiver *receiver
	// messages are the datagrams to send.
	messages []ipv4.Message
	// buffers contain the received datagrams; sealInbound writes tunnel headers into them.
	buffers [][]byte
	// addrs are the destinations of messages.
	addrs []net.UDPAddr
	// scratch is the buffer for Decider.Decide.
	scratch Scratch
}

// newBatch returns a batch with buffers of offset+size bytes, which receives datagrams from conn
// at offset. With a nil conn the batch is for sending only.
func newBatch(conn *net.UDPConn, offset, size int) (*batch, error) {
	b := &batch{
		messages: make([]ipv4.Message, batchSize),
		buffers:  make([][]byte, batchSize),
		addrs:    make([]net.UDPAddr, batchSize),
	}
	receiveBuffers := make([][]byte, batchSize)
	for i := range b.messages {
		b.buffers[i] = make([]byte, offset+size)
		receiveBuffers[i] = b.buffers[i][offset:]
		b.messages[i].Buffers = make([][]byte, 1)
		b.addrs[i].IP = make(net.IP, net.IPv4len)
		b.messages[i].Addr = &b.addrs[i]
	}
	if conn == nil {
		return b, nil
	}
	var err error
	b.receiver, err = newReceiver(conn, receiveBuffers)
	return b, err
}

// setMessage makes datagram, addressed to to, the n-th message to send.
func (b *batch) setMessage(n int, datagram []byte, to netip.AddrPort) {
	b.messages[n].Buffers[0] = datagram
	ip := to.Addr().As4()
	copy(b.addrs[n].IP, ip[:])
	b.addrs[n].Port = int(to.Port())
}

// run receives datagrams into b and calls handle with their number, repeatedly until the socket is
// closed or ctx ends.
func (b *batch) run(ctx context.Context, handle func(n int)) {
	for ctx.Err() == nil {
		n, err := b.receiver.receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(n)
		}
	}
}

// runInbound forwards the datagrams of callers to sidecars until the socket is closed.
func (f *Forwarder) runInbound(ctx context.Context, socket *serviceSocket, b *batch) {
	defer close(socket.done)
	b.run(ctx, func(n int) {
		m := f.sealInbound(socket, b, n)
		f.send(f.tunnelConn, b, m)
	})
}

// sealInbound seals the first n received datagrams for their sidecars, drops or refuses those without a
// destination, and returns the number of messages to send.
func (f *Forwarder) sealInbound(socket *serviceSocket, b *batch, n int) int {
	binding := socket.binding.Load()
	m := 0
	for i := range n {
		datagram := b.buffers[i][:tunnel.HeaderLen+b.receiver.length(i)]
		to, drop := binding.Decider.Decide(&b.scratch, datagram[tunnel.HeaderLen:])
		if drop != DropReasonNone {
			f.counters.Dropped[drop].Inc(1)
			if drop == DropReasonEvacuated {
				f.refuse(socket, datagram[tunnel.HeaderLen:], b.receiver.sender(i))
			}
			continue
		}
		if to.FirstFlight {
			f.counters.FirstFlight.Inc(1)
		}
		h := tunnel.Header{
			Kind:        tunnel.KindInbound,
			ServiceTag:  binding.Decider.Tag,
			Incarnation: to.Incarnation,
			Caller:      b.receiver.sender(i),
		}
		if err := binding.Sealer.Seal(datagram, &h); err != nil {
			f.counters.Dropped[DropReasonOversized].Inc(1)
			continue
		}
		b.setMessage(m, datagram, to.Sidecar)
		m++
	}
	f.counters.Inbound.Inc(int64(m))
	return m
}

// send writes the first m messages of b to conn. A message that cannot be written is counted and
// skipped.
func (f *Forwarder) send(conn *ipv4.PacketConn, b *batch, m int) {
	for sent := 0; sent < m; {
		n, err := conn.WriteBatch(b.messages[sent:m], 0)
		if err != nil || n <= 0 {
			f.counters.Dropped[DropReasonSend].Inc(1)
			sent++
			continue
		}
		sent += n
	}
}

// runOutbound forwards the datagrams of sidecars to callers until the tunnel socket is closed.
func (f *Forwarder) runOutbound(ctx context.Context, b *batch) {
	defer close(f.done)
	b.run(ctx, func(n int) { f.forwardOutbound(b, n) })
}

// forwardOutbound opens the first n received datagrams and sends their payloads to the callers, or
// answers them if they are probes. Consecutive datagrams of one service are sent together.
func (f *Forwarder) forwardOutbound(b *batch, n int) {
	sealer := f.sealer.Load()
	byTag := *f.byTag.Load()
	var current *serviceSocket
	m := 0
	for i := range n {
		datagram := b.buffers[i][:b.receiver.length(i)]
		h, err := sealer.Open(datagram)
		if err != nil {
			f.counters.Dropped[DropReasonUnauthentic].Inc(1)
			continue
		}
		if h.Kind == tunnel.KindProbe {
			f.answerProbe(sealer, h, b.receiver.sender(i))
			continue
		}
		socket := byTag[h.ServiceTag]
		if socket == nil || h.Kind != tunnel.KindOutbound {
			f.counters.Dropped[DropReasonUnknownService].Inc(1)
			continue
		}
		if socket != current && m > 0 {
			f.sendOutbound(current, b, m)
			m = 0
		}
		current = socket
		b.setMessage(m, datagram[tunnel.HeaderLen:], h.Caller)
		m++
	}
	if m > 0 {
		f.sendOutbound(current, b, m)
	}
}

// sendOutbound sends the first m messages of b from a service's address.
func (f *Forwarder) sendOutbound(socket *serviceSocket, b *batch, m int) {
	f.counters.Outbound.Inc(int64(m))
	f.send(socket.packetConn, b, m)
}

// answerProbe confirms to the sidecar at from that the path through this balancer works.
func (f *Forwarder) answerProbe(sealer *tunnel.Sealer, h tunnel.Header, from netip.AddrPort) {
	answer := make([]byte, tunnel.HeaderLen)
	h.Kind = tunnel.KindProbeAnswer
	if err := sealer.Seal(answer, &h); err != nil {
		return
	}
	m := ipv4.Message{Buffers: [][]byte{answer}, Addr: net.UDPAddrFromAddrPort(from)}
	if _, err := f.tunnelConn.WriteBatch([]ipv4.Message{m}, 0); err != nil {
		f.counters.Dropped[DropReasonSend].Inc(1)
	}
}
