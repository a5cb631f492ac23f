// Package daemon provides what the long-running processes share: UDP sockets, HTTP servers,
// groups of goroutines, counters and histograms.
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
	// MaxDatagram is the largest datagram in bytes that ReadUDP receives whole.
	MaxDatagram = 4096
	// socketBuffer is the size in bytes of a socket's receive buffer.
	socketBuffer      = 1 << 20
	readHeaderTimeout = 5 * time.Second
)

// ListenUDP opens a UDP socket with a receive buffer that is large enough for bursts.
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

// ListenPair opens two UDP sockets and returns a function that closes both.
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

// ReadUDP calls handle for each datagram until the socket is closed, and counts failed reads. The
// slice b is only valid during the call.
func ReadUDP(conn *net.UDPConn, readErrors metrics.Counter, handle func(b []byte, from netip.AddrPort)) {
	buf := make([]byte, MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			readErrors.Inc(1)
		default:
			handle(buf[:n], from)
		}
	}
}

// ServeHTTP serves HTTP on ln until ctx is done. When it returns, the listener's port is free.
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

// StartAll runs each function in a goroutine with ctx. It returns a function that calls cancel and
// waits until all functions have returned. cancel must cancel ctx.
func StartAll(ctx context.Context, cancel func(), functions ...func(context.Context)) func() {
	done := make(chan struct{})
	for _, run := range functions {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	return func() {
		cancel()
		for range functions {
			<-done
		}
	}
}

// TunnelAddrs returns the tunnel addresses of VMs: the IP addresses of vms, each with the port of the
// tunnel sockets.
func TunnelAddrs(vms []netip.AddrPort, port uint16) []netip.AddrPort {
	list := make([]netip.AddrPort, len(vms))
	for i, vm := range vms {
		list[i] = netip.AddrPortFrom(vm.Addr(), port)
	}
	return list
}

// Signal wakes the goroutine that receives from c. The capacity of c must be 1, so that a signal
// sent while the goroutine is busy is not lost.
func Signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Sleep waits for d, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ErrorText returns the text of err for a log line, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
