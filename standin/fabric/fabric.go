// Package fabric is a stand-in for the network fabric in front of the balancers. It listens on the
// services' addresses, forwards each datagram to a random balancer, and can drop, delay, duplicate
// and reorder datagrams.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDatagram is the size of the receive buffers in bytes. Longer datagrams are truncated.
	maxDatagram = 2048
	// socketBuffer is the requested size of the sockets' receive buffers in bytes.
	socketBuffer = 4 << 20
)

// Faults are the faults that the fabric injects in both directions. Probabilities are between 0 and 1.
type Faults struct {
	// Loss is the probability that a datagram is dropped.
	Loss float64 `json:"loss,omitempty"`
	// Duplicate is the probability that a datagram is sent twice.
	Duplicate float64 `json:"duplicate,omitempty"`
	// Reorder is the probability that a datagram is delayed by reorderDelay in addition to Delay.
	Reorder float64 `json:"reorder,omitempty"`
	// Delay is the delay of every datagram.
	Delay time.Duration `json:"delay,omitempty"`
}

// reorderDelay is the additional delay of a reordered datagram, so that later ones can overtake it.
const reorderDelay = 2 * time.Millisecond

// Fabric forwards datagrams between callers and balancers. It is safe for concurrent use.
type Fabric struct {
	mu        sync.Mutex
	balancers []netip.Addr
	faults    Faults
	listeners []*serviceListener
	// wg waits for all forwarding goroutines.
	wg sync.WaitGroup
}

// serviceListener forwards the datagrams of one service's address.
type serviceListener struct {
	fabric *Fabric
	// conn listens on the service's address.
	conn *net.UDPConn
	// port is the service's port, on which the balancers receive the service's datagrams too.
	port uint16
	mu   sync.Mutex
	// balancerConns holds one socket per caller, by the caller's address. It carries the caller's
	// datagrams to and from the balancers.
	balancerConns map[netip.AddrPort]*net.UDPConn
}

// New returns a fabric without services and the function that closes it.
func New() (*Fabric, func()) {
	f := &Fabric{}
	return f, f.close
}

// SetBalancers replaces the IPs of the balancers that datagrams are forwarded to.
func (f *Fabric) SetBalancers(ips []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.Addr(nil), ips...)
}

// SetFaults replaces the injected faults. The zero value injects none.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Serve listens on a service's address and starts to forward the datagrams that arrive there, until
// the fabric is closed. It does not block.
func (f *Fabric) Serve(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "fabric.Serve")
	}
	_ = conn.SetReadBuffer(socketBuffer) // capped by the kernel
	s := &serviceListener{fabric: f, conn: conn, port: address.Port(), balancerConns: map[netip.AddrPort]*net.UDPConn{}}
	f.mu.Lock()
	f.listeners = append(f.listeners, s)
	f.mu.Unlock()
	f.wg.Go(s.forwardToBalancers)
	return nil
}

// close closes all sockets and waits for the forwarding goroutines.
func (f *Fabric) close() {
	f.mu.Lock()
	listeners := f.listeners
	f.mu.Unlock()
	for _, s := range listeners {
		s.close()
	}
	f.wg.Wait()
}

// close closes the listening socket and the sockets of all callers.
func (s *serviceListener) close() {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.balancerConns {
		c.Close()
	}
}

// forwardToBalancers forwards callers' datagrams until the listener is closed.
func (s *serviceListener) forwardToBalancers() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c, err := s.balancerConn(from)
		if err != nil {
			return
		}
		s.spray(c, buf[:n])
	}
}

// balancerConn returns the socket for a caller's datagrams to the balancers. It opens the socket at
// the caller's first datagram.
func (s *serviceListener) balancerConn(from netip.AddrPort) (*net.UDPConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.balancerConns[from]; ok {
		return c, nil
	}
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "fabric.balancerConn")
	}
	_ = c.SetReadBuffer(socketBuffer) // capped by the kernel
	s.balancerConns[from] = c
	s.fabric.wg.Go(func() { s.forwardToCaller(c, from) })
	return c, nil
}

// spray sends a datagram to a random balancer, or drops it if there is none.
func (s *serviceListener) spray(c *net.UDPConn, datagram []byte) {
	f := s.fabric
	f.mu.Lock()
	faults := f.faults
	balancers := f.balancers
	f.mu.Unlock()
	if len(balancers) == 0 {
		return
	}
	to := netip.AddrPortFrom(balancers[rand.IntN(len(balancers))], s.port)
	faults.apply(datagram, func(p []byte) {
		// A datagram to a stopped balancer is lost, as in a real fabric.
		_, _ = c.WriteToUDPAddrPort(p, to)
	})
}

// forwardToCaller forwards the balancers' datagrams from socket c to a caller until c is closed.
func (s *serviceListener) forwardToCaller(c *net.UDPConn, caller netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.fabric.mu.Lock()
		faults := s.fabric.faults
		s.fabric.mu.Unlock()
		faults.apply(buf[:n], func(p []byte) {
			_, _ = s.conn.WriteToUDPAddrPort(p, caller) // the caller may be gone
		})
	}
}

// apply calls send for a datagram according to the faults: never, once or twice, at once or after
// a delay.
func (f Faults) apply(datagram []byte, send func([]byte)) {
	if rand.Float64() < f.Loss {
		return
	}
	delay := f.Delay
	if rand.Float64() < f.Reorder {
		delay += reorderDelay
	}
	duplicate := rand.Float64() < f.Duplicate
	if delay == 0 {
		send(datagram)
		if duplicate {
			send(datagram)
		}
		return
	}
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() {
		send(delayed)
		if duplicate {
			send(delayed)
		}
	})
}
