package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxy passes the connections on which a backend sends heartbeats on to the sidecar. It can hold up
// the bytes of a connection for a time, as a partition does.
type proxy struct {
	ln net.Listener
	to netip.AddrPort

	mu sync.Mutex
	// holding is set while new connections are held up.
	holding bool
	// held receives each connection that is held up.
	held chan net.Conn
}

// startProxy starts a proxy at addr for the listener at to, and returns it with the function that stops
// it.
func startProxy(addr, to netip.AddrPort) (*proxy, func(), error) {
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "startProxy")
	}
	p := &proxy{ln: ln, to: to, held: make(chan net.Conn, 16)}
	go p.accept()
	return p, func() { ln.Close() }, nil
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		holding := p.holding
		p.mu.Unlock()
		if holding {
			p.held <- conn
			continue
		}
		go func() { _ = p.pass(conn) }() // a failure is a lost heartbeat
	}
}

// hold holds up new connections, or passes them on again.
func (p *proxy) hold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = on
}

// awaitHeld returns the next connection that is held up.
func (p *proxy) awaitHeld(ctx context.Context) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case conn := <-p.held:
		return conn, nil
	}
}

// pass passes a connection on, and closes it. It fails if the sidecar does not listen.
func (p *proxy) pass(conn net.Conn) error {
	up, err := net.DialTimeout("tcp4", p.to.String(), time.Second)
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "proxy.pass")
	}
	defer up.Close()
	defer conn.Close()
	go func() { _, _ = io.Copy(up, conn) }() // ends when either side is closed
	_, err = io.Copy(conn, up)
	return errors.Wrap(err, "proxy.pass")
}

// deliver passes a connection on as soon as the sidecar listens. Its sender may have ended: what it
// sent is delivered all the same.
func (p *proxy) deliver(ctx context.Context, conn net.Conn) error {
	for ctx.Err() == nil {
		up, err := net.DialTimeout("tcp4", p.to.String(), time.Second)
		if err != nil {
			sleep(ctx, 5*time.Millisecond)
			continue
		}
		defer up.Close()
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.Copy(up, conn); err != nil {
			return errors.Wrap(err, "proxy.deliver")
		}
		_ = up.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.ReadAtLeast(up, make([]byte, 16), 12) // the status line of the response
		return errors.Wrap(err, "proxy.deliver")
	}
	return ctx.Err()
}
