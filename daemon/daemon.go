// Package daemon holds what the long-running processes of the system share: sockets,
// HTTP servers, and goroutines that end together.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// MaxDatagram is the largest datagram in bytes.
	MaxDatagram = 4096
	// socketBuffer is the number of bytes that may wait in a socket.
	socketBuffer      = 1 << 20
	readHeaderTimeout = 5 * time.Second
)

// ListenUDP opens a UDP socket with room for bursts.
func ListenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "daemon.ListenUDP")
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "daemon.ListenUDP")
	}
	return conn, nil
}

// ListenPair opens two UDP sockets and returns what closes both.
func ListenPair(a, b netip.AddrPort) (first, second *net.UDPConn, closeBoth func(), err error) {
	if first, err = ListenUDP(a); err != nil {
		return nil, nil, nil, err
	}
	if second, err = ListenUDP(b); err != nil {
		first.Close()
		return nil, nil, nil, err
	}
	return first, second, func() {
		first.Close()
		second.Close()
	}, nil
}

// ReadUDP hands each datagram to handle until the socket is closed. The bytes are only
// valid during the call.
func ReadUDP(conn *net.UDPConn, failed metrics.Counter, handle func(b []byte, from netip.AddrPort)) {
	in := make([]byte, MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			failed.Inc(1)
		default:
			handle(in[:n], from)
		}
	}
}

// ServeHTTP serves until ctx ends. When it returns, the listener's port is free.
func ServeHTTP(ctx context.Context, log *slog.Logger, ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("http-server-failed", "address", ln.Addr().String(), "error", err.Error())
		}
	}()
	<-ctx.Done()
	server.Close()
	<-served
}

// StartAll runs each function in a goroutine and returns a function that ends them
// and waits.
func StartAll(ctx context.Context, end func(), functions ...func(context.Context)) func() {
	done := make(chan struct{})
	for _, run := range functions {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	return func() {
		end()
		for range functions {
			<-done
		}
	}
}

// TunnelAddrs are the tunnel addresses of VMs of which other addresses are known.
func TunnelAddrs(vms []netip.AddrPort, port uint16) []netip.AddrPort {
	list := make([]netip.AddrPort, len(vms))
	for i, vm := range vms {
		list[i] = netip.AddrPortFrom(vm.Addr(), port)
	}
	return list
}

// Signal wakes the goroutine that waits for c, which has room for one signal.
func Signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ErrorText is the text of an error for a log, empty if there is none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
