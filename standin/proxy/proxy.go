// Package proxy provides a fault-injecting proxy for TCP connections and UDP datagrams. It can delay,
// drop and cut traffic, and it can silence the open connections for good while new ones work.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Faults are the faults that the proxy injects.
type Faults struct {
	// Delay is the delay added to data in each direction.
	Delay time.Duration `json:"delay,omitempty"`
	// Loss is the fraction of datagrams that are dropped, between 0 and 1. TCP is not affected.
	Loss float64 `json:"loss,omitempty"`
	// Cut discards all received data and closes new TCP connections at once. Open TCP connections
	// stay open, and go on without the discarded data once Cut is false again.
	Cut bool `json:"cut,omitempty"`
}

const (
	// bufferSize is the size of the copy buffers for TCP in bytes.
	bufferSize = 32 << 10
	// maxDatagram is the size of the receive buffers for UDP in bytes.
	maxDatagram = 2048
)

// Proxy forwards between a listening address and a target. It is safe for concurrent use.
type Proxy struct {
	target netip.AddrPort

	mu     sync.Mutex
	faults Faults
	// silenced is the channel that new connections get. Silence closes and replaces it; the data of
	// a connection is discarded once the channel that it got is closed.
	silenced chan struct{}
	// answersSilenced is the same for SilenceAnswers and the target's data on TCP connections.
	answersSilenced chan struct{}
	// openConns holds both sockets of each TCP connection and the target sockets for UDP.
	openConns map[net.Conn]bool
	// wg waits for all forwarding goroutines.
	wg sync.WaitGroup
}

func newProxy(target netip.AddrPort) *Proxy {
	return &Proxy{
		target:          target,
		silenced:        make(chan struct{}),
		answersSilenced: make(chan struct{}),
		openConns:       map[net.Conn]bool{},
	}
}

// SetFaults replaces the injected faults. The zero value injects none.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Silence makes the proxy discard, for good, all data on the connections that are open now. The
// connections stay open, and new ones work. A UDP sender counts as one connection.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// Reset resets the TCP connections that are open now. New ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// SilenceAnswers makes the proxy discard, for good, the target's data on the TCP connections that
// are open now. Data to the target still arrives. UDP is not affected.
func (p *Proxy) SilenceAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.answersSilenced)
	p.answersSilenced = make(chan struct{})
}

// state returns the faults and the current values of silenced and answersSilenced.
func (p *Proxy) state() (Faults, <-chan struct{}, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.silenced, p.answersSilenced
}

// track adds c to openConns or removes it.
func (p *Proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.openConns[c] = true
		return
	}
	delete(p.openConns, c)
}

// closeAll closes the listening socket and all connections, and waits for the goroutines.
func (p *Proxy) closeAll(ln interface{ Close() error }) {
	ln.Close()
	p.mu.Lock()
	for c := range p.openConns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// TCP starts a proxy that forwards TCP connections from listen to target. It returns the proxy, the
// address that it listens on, and the function that stops it.
func TCP(listen, target netip.AddrPort) (*Proxy, netip.AddrPort, func(), error) {
	ln, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "proxy.TCP")
	}
	p := newProxy(target)
	p.wg.Go(func() { p.acceptTCP(ln) })
	return p, ln.Addr().(*net.TCPAddr).AddrPort(), func() { p.closeAll(ln) }, nil
}

// acceptTCP serves connections until ln is closed.
func (p *Proxy) acceptTCP(ln net.Listener) {
	for {
		callerConn, err := ln.Accept()
		if err != nil {
			return
		}
		if f, _, _ := p.state(); f.Cut {
			callerConn.Close()
			continue
		}
		p.wg.Go(func() { p.serveTCP(callerConn) })
	}
}

// serveTCP connects to the target and forwards data in both directions until both have ended.
func (p *Proxy) serveTCP(callerConn net.Conn) {
	targetConn, err := net.Dial("tcp4", p.target.String())
	if err != nil {
		callerConn.Close()
		return
	}
	p.track(callerConn, true)
	p.track(targetConn, true)
	_, silenced, answersSilenced := p.state()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyTCP(targetConn, callerConn, silenced, nil) })
	directions.Go(func() { p.copyTCP(callerConn, targetConn, silenced, answersSilenced) })
	directions.Wait()
	callerConn.Close()
	targetConn.Close()
	p.track(callerConn, false)
	p.track(targetConn, false)
}

// copyTCP forwards data from src to dst until one of them is closed, and then closes both. From the
// first data that arrives after silenced or answersSilenced was closed, it discards all data and
// closes neither.
func (p *Proxy) copyTCP(dst, src net.Conn, silenced, answersSilenced <-chan struct{}) {
	buf := make([]byte, bufferSize)
	discarding := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			break
		}
		discarding = discarding || isClosed(silenced) || isClosed(answersSilenced)
		f, _, _ := p.state()
		if discarding || f.Cut {
			continue
		}
		time.Sleep(f.Delay)
		if _, err := dst.Write(buf[:n]); err != nil {
			break
		}
	}
	if !discarding {
		dst.Close()
		src.Close()
	}
}

// isClosed reports whether c is closed. A nil channel is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return c != nil
	default:
		return false
	}
}

// UDP starts a proxy that forwards datagrams from listen to target and the target's answers back.
// Each sender's datagrams are forwarded from a separate socket, so that answers return to the right
// sender. It returns the proxy, the address that it listens on, and the function that stops it.
func UDP(listen, target netip.AddrPort) (*Proxy, netip.AddrPort, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "proxy.UDP")
	}
	p := newProxy(target)
	p.wg.Go(func() { p.serveUDP(conn) })
	return p, conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() { p.closeAll(conn) }, nil
}

// senderSocket is the socket to the target for one sender of datagrams.
type senderSocket struct {
	conn *net.UDPConn
	// silenced is the value of Proxy.silenced when the socket was opened.
	silenced <-chan struct{}
}

// serveUDP forwards datagrams to the target until conn is closed.
func (p *Proxy) serveUDP(conn *net.UDPConn) {
	senders := map[netip.AddrPort]*senderSocket{}
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
			targetConn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.target))
			if err != nil {
				return
			}
			_, silenced, _ := p.state()
			s = &senderSocket{conn: targetConn, silenced: silenced}
			senders[from] = s
			p.track(targetConn, true)
			p.wg.Go(func() { p.returnUDP(conn, s, from) })
		}
		p.deliver(buf[:n], s.silenced, func(d []byte) { s.conn.Write(d) })
	}
}

// returnUDP forwards the target's answers to one sender until its socket is closed.
func (p *Proxy) returnUDP(conn *net.UDPConn, s *senderSocket, to netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := s.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.deliver(buf[:n], s.silenced, func(d []byte) { conn.WriteToUDPAddrPort(d, to) })
	}
}

// deliver calls send for a datagram after Faults.Delay, or drops the datagram because of Faults.Cut,
// Faults.Loss or the closed channel silenced.
func (p *Proxy) deliver(datagram []byte, silenced <-chan struct{}, send func([]byte)) {
	f, _, _ := p.state()
	if f.Cut || isClosed(silenced) || rand.Float64() < f.Loss {
		return
	}
	if f.Delay == 0 {
		send(datagram)
		return
	}
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(f.Delay, func() { send(delayed) })
}
