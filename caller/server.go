// Package caller speaks HTTP/3 with callers. It is the only package that knows
// HTTP/3 and the callers' QUIC connections.
package caller

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/work"
)

const (
	idleTimeout = 30 * time.Second
	keepAlive   = 5 * time.Second
	// maxStreams is the number of requests that one connection may have open.
	maxStreams = 256
)

// Dispatcher decides where a request runs, and passes its answer to sink.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
}

// ConnectionIDs makes connection ConnectionIDs that lead back to this sidecar.
type ConnectionIDs interface {
	ConnectionID(dst []byte)
}

// Options are what a front needs.
type Options struct {
	Log *slog.Logger
	// Conn carries the callers' datagrams.
	Conn net.PacketConn
	IDs  ConnectionIDs
	TLS  *tls.Config
	// ResetSecret is shared by all sidecars of the system, so that whoever listens
	// on an address can tell callers that their connection is gone.
	ResetSecret []byte
	Routes      func() service.Routes
	Dispatcher  Dispatcher
	Identity    string
	// Handshakes is the number of handshakes a second that go without validation of
	// the caller's address.
	Handshakes int
	Registry   metrics.Registry
}

// Server serves callers.
type Server struct {
	Options
	server    *http3.Server
	transport *quic.Transport
	listener  *quic.Listener
	done      chan struct{}
	retries   metrics.Counter
	requests  metrics.Counter
}

type idGenerator struct {
	ids ConnectionIDs
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var id [quiclb.ConnectionIDLen]byte
	g.ids.ConnectionID(id[:])
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (idGenerator) ConnectionIDLen() int { return quiclb.ConnectionIDLen }

// New starts to serve callers, and returns a clean-up function that ends all
// connections at once.
func New(o Options) (*Server, func(), error) {
	f := &Server{
		Options:  o,
		done:     make(chan struct{}),
		retries:  metrics.NewRegisteredCounter("caller.address-validations", o.Registry),
		requests: metrics.NewRegisteredCounter("caller.requests", o.Registry),
	}
	reset := quic.StatelessResetKey(sha256.Sum256(append([]byte("greengagedyke stateless-reset "), o.ResetSecret...)))
	handshakes := rate.NewLimiter(rate.Limit(o.Handshakes), o.Handshakes)
	f.transport = &quic.Transport{
		Conn:                  o.Conn,
		ConnectionIDGenerator: idGenerator{ids: o.IDs},
		StatelessResetKey:     &reset,
		VerifySourceAddress: func(net.Addr) bool {
			if handshakes.Allow() {
				return false
			}
			f.retries.Inc(1)
			return true
		},
	}
	cfg := &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
	listener, err := f.transport.Listen(http3.ConfigureTLSConfig(o.TLS), cfg)
	if err != nil {
		return nil, nil, errors.Wrap(err, "caller.New")
	}
	f.listener = listener
	f.server = &http3.Server{Handler: http.HandlerFunc(f.serve)}
	go f.accept()
	return f, f.close, nil
}

func (f *Server) accept() {
	defer close(f.done)
	err := f.server.ServeListener(f.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, quic.ErrServerClosed) {
		f.Log.Error("caller-accept-failed", "error", err.Error())
	}
}

// Drain asks callers to open new connections elsewhere and waits until all
// requests have ended, feeds included, or ctx ends.
func (f *Server) Drain(ctx context.Context) error {
	return errors.Wrap(f.server.Shutdown(ctx), "caller.Server.Drain")
}

func (f *Server) close() {
	f.server.Close()
	f.listener.Close()
	<-f.done
	f.transport.Close()
}
