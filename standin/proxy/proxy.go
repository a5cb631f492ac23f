// Package proxy is a fault-injecting proxy for TCP connections and UDP datagrams:
// it delays, loses and cuts, and can make open connections silent for good while
// new ones work.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Faults are what the proxy does.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration `json:"delay,omitempty"`
	// Loss is the share of datagrams that are lost, between 0 and 1; TCP is not affected.
	Loss float64 `json:"loss,omitempty"`
	// Cut drops everything, and refuses new connections.
	Cut bool `json:"cut,omitempty"`
}

const (
	bufferSize  = 32 << 10
	maxDatagram = 2048
)

// Proxy forwards between a listening address and a target.
type Proxy struct {
	target netip.AddrPort

	mu     sync.Mutex
	faults Faults
	// silent is closed to make the connections that are open now silent.
	silent chan struct{}
	// oneWay is like silent, for answers of the target only.
	oneWay chan struct{}
	open   map[net.Conn]bool
	wg     sync.WaitGroup
}

func newProxy(target netip.AddrPort) *Proxy {
	return &Proxy{
		target: target,
		silent: make(chan struct{}),
		oneWay: make(chan struct{}),
		open:   map[net.Conn]bool{},
	}
}

// SetFaults replaces the faults.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Silence makes the connections that are open now silent for good, in both
// directions. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// Reset closes the TCP connections that are open now. New ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// SilenceAnswers makes the target's answers on the connections that are open now
// vanish, while what is sent to the target still arrives.
func (p *Proxy) SilenceAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.oneWay)
	p.oneWay = make(chan struct{})
}

func (p *Proxy) state() (Faults, <-chan struct{}, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.silent, p.oneWay
}

func (p *Proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.open[c] = true
		return
	}
	delete(p.open, c)
}

func (p *Proxy) closeAll(ln interface{ Close() error }) {
	ln.Close()
	p.mu.Lock()
	for c := range p.open {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// TCP forwards connections from listen to target until the clean-up function is called.
func TCP(listen, target netip.AddrPort) (*Proxy, netip.AddrPort, func(), error) {
	ln, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "proxy.TCP")
	}
	p := newProxy(target)
	p.wg.Go(func() { p.acceptTCP(ln) })
	return p, ln.Addr().(*net.TCPAddr).AddrPort(), func() { p.closeAll(ln) }, nil
}

func (p *Proxy) acceptTCP(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		if f, _, _ := p.state(); f.Cut {
			in.Close()
			continue
		}
		p.wg.Go(func() { p.serveTCP(in) })
	}
}

func (p *Proxy) serveTCP(in net.Conn) {
	out, err := net.Dial("tcp4", p.target.String())
	if err != nil {
		in.Close()
		return
	}
	p.track(in, true)
	p.track(out, true)
	_, silent, oneWay := p.state()
	var both sync.WaitGroup
	both.Go(func() { p.copyTCP(out, in, silent, nil) })
	both.Go(func() { p.copyTCP(in, out, silent, oneWay) })
	both.Wait()
	in.Close()
	out.Close()
	p.track(in, false)
	p.track(out, false)
}

// copyTCP copies until either end closes. Silent connections stay open, and what
// arrives on them vanishes.
func (p *Proxy) copyTCP(dst, src net.Conn, silent, oneWay <-chan struct{}) {
	buf := make([]byte, bufferSize)
	muted := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			break
		}
		muted = muted || isClosed(silent) || isClosed(oneWay)
		f, _, _ := p.state()
		if muted || f.Cut {
			continue
		}
		time.Sleep(f.Delay)
		if _, err := dst.Write(buf[:n]); err != nil {
			break
		}
	}
	if !muted {
		dst.Close()
		src.Close()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return c != nil
	default:
		return false
	}
}

// UDP forwards datagrams from listen to target, with a socket for each sender,
// until the clean-up function is called.
func UDP(listen, target netip.AddrPort) (*Proxy, netip.AddrPort, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "proxy.UDP")
	}
	p := newProxy(target)
	p.wg.Go(func() { p.serveUDP(conn) })
	return p, conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() { p.closeAll(conn) }, nil
}

// sender is the way back to one sender of datagrams.
type sender struct {
	conn   *net.UDPConn
	silent <-chan struct{}
}

func (p *Proxy) serveUDP(conn *net.UDPConn) {
	senders := map[netip.AddrPort]*sender{}
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s := senders[from]
		if s == nil {
			out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.target))
			if err != nil {
				return
			}
			_, silent, _ := p.state()
			s = &sender{conn: out, silent: silent}
			senders[from] = s
			p.track(out, true)
			p.wg.Go(func() { p.backUDP(conn, s, from) })
		}
		p.deliver(buf[:n], s.silent, func(d []byte) { s.conn.Write(d) })
	}
}

func (p *Proxy) backUDP(conn *net.UDPConn, s *sender, to netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := s.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.deliver(buf[:n], s.silent, func(d []byte) { conn.WriteToUDPAddrPort(d, to) })
	}
}

func (p *Proxy) deliver(datagram []byte, silent <-chan struct{}, send func([]byte)) {
	f, _, _ := p.state()
	if f.Cut || isClosed(silent) || rand.Float64() < f.Loss {
		return
	}
	if f.Delay == 0 {
		send(datagram)
		return
	}
	later := append([]byte(nil), datagram...)
	time.AfterFunc(f.Delay, func() { send(later) })
}
