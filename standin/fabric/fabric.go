// Package fabric is a small stand-in for the fabric in front of the balancers: it
// owns the services' addresses, sprays every datagram over the balancers at random,
// and can lose, delay, repeat and reorder datagrams.
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
	maxDatagram  = 2048
	socketBuffer = 4 << 20
)

// Faults are what the fabric does to datagrams. Shares are between 0 and 1.
type Faults struct {
	Loss      float64       `json:"loss,omitempty"`
	Duplicate float64       `json:"duplicate,omitempty"`
	Reorder   float64       `json:"reorder,omitempty"`
	Delay     time.Duration `json:"delay,omitempty"`
}

// reorderDelay is how much later a reordered datagram arrives.
const reorderDelay = 2 * time.Millisecond

// Fabric is the stand-in.
type Fabric struct {
	mu        sync.Mutex
	balancers []netip.Addr
	faults    Faults
	services  []*front
	wg        sync.WaitGroup
}

// front is one service's address with a socket for each caller.
type front struct {
	fabric  *Fabric
	conn    *net.UDPConn
	port    uint16
	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

// New returns a fabric without services, and its clean-up function.
func New() (*Fabric, func()) {
	f := &Fabric{}
	return f, f.close
}

// SetBalancers replaces the IPs of the balancers that datagrams are sprayed over.
func (f *Fabric) SetBalancers(ips []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.Addr(nil), ips...)
}

// SetFaults makes the fabric misbehave.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Serve owns a service's address until the fabric is closed.
func (f *Fabric) Serve(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "fabric.Serve")
	}
	_ = conn.SetReadBuffer(socketBuffer) // capped by the kernel
	s := &front{fabric: f, conn: conn, port: address.Port(), callers: map[netip.AddrPort]*net.UDPConn{}}
	f.mu.Lock()
	f.services = append(f.services, s)
	f.mu.Unlock()
	f.wg.Go(s.run)
	return nil
}

func (f *Fabric) close() {
	f.mu.Lock()
	services := f.services
	f.mu.Unlock()
	for _, s := range services {
		s.close()
	}
	f.wg.Wait()
}

func (s *front) close() {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.Close()
	}
}

func (s *front) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c, err := s.caller(from)
		if err != nil {
			return
		}
		s.spray(c, buf[:n])
	}
}

func (s *front) caller(from netip.AddrPort) (*net.UDPConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[from]; ok {
		return c, nil
	}
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "fabric.caller")
	}
	_ = c.SetReadBuffer(socketBuffer) // capped by the kernel
	s.callers[from] = c
	s.fabric.wg.Go(func() { s.back(c, from) })
	return c, nil
}

func (s *front) spray(c *net.UDPConn, datagram []byte) {
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
		// A datagram to a dead balancer is lost, as in a real fabric.
		_, _ = c.WriteToUDPAddrPort(p, to)
	})
}

func (s *front) back(c *net.UDPConn, caller netip.AddrPort) {
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

// apply sends a datagram as the faults demand: not, once or twice, now or later.
func (t Faults) apply(datagram []byte, send func([]byte)) {
	if rand.Float64() < t.Loss {
		return
	}
	delay := t.Delay
	if rand.Float64() < t.Reorder {
		delay += reorderDelay
	}
	again := rand.Float64() < t.Duplicate
	if delay == 0 {
		send(datagram)
		if again {
			send(datagram)
		}
		return
	}
	later := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() {
		send(later)
		if again {
			send(later)
		}
	})
}
