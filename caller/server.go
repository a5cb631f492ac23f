// Package caller serves callers over HTTP/3. No other package of balancers and sidecars depends on
// HTTP/3 or on the callers' QUIC connections.
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
	// maxStreams is the largest number of concurrent requests on one connection.
	maxStreams = 256
)

// Dispatcher decides where a request runs, and passes the response to sink.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
}

// ConnectionIDs generates connection IDs by which balancers route packets to this sidecar.
type ConnectionIDs interface {
	// ConnectionID fills dst, of length quiclb.ConnectionIDLen.
	ConnectionID(dst []byte)
}

// Options configure a Server.
type Options struct {
	Log *slog.Logger
	// Conn receives datagrams from callers and sends datagrams to them.
	Conn net.PacketConn
	IDs  ConnectionIDs
	TLS  *tls.Config
	// ResetSecret derives the stateless reset tokens. All sidecars of the system share it, so that
	// the process that now uses an address can reset connections of an earlier one.
	ResetSecret []byte
	// Routes returns the routes in force; it is called for each request.
	Routes     func() service.Routes
	Dispatcher Dispatcher
	Identity   string
	// Handshakes is the number of handshakes per second above which QUIC validates the caller's
	// address first.
	Handshakes int
	// Evacuated reports whether new connections are refused because the failure domain is evacuated;
	// open connections are kept.
	Evacuated func() bool
	Registry  metrics.Registry
}

// Server accepts requests from callers, has them dispatched and writes the responses.
type Server struct {
	Options
	server             *http3.Server
	transport          *quic.Transport
	listener           *quic.Listener
	done               chan struct{} // closed when accept has returned
	addressValidations metrics.Counter
	requests           metrics.Counter
	// connections and openRequests are the numbers of open connections and of unanswered requests.
	connections, openRequests metrics.Counter
	refusals                  refusals
}

// idGenerator adapts ConnectionIDs to quic.ConnectionIDGenerator.
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

// New starts a server, and returns a function that closes it and all connections at once.
func New(o Options) (*Server, func(), error) {
	s := &Server{
		Options:            o,
		done:               make(chan struct{}),
		addressValidations: metrics.NewRegisteredCounter("caller.address-validations", o.Registry),
		requests:           metrics.NewRegisteredCounter("caller.requests", o.Registry),
		connections:        metrics.NewRegisteredCounter("caller.connections", o.Registry),
		openRequests:       metrics.NewRegisteredCounter("caller.open-requests", o.Registry),
		refusals:           newRefusals(o.Registry),
	}
	resetKey := quic.StatelessResetKey(sha256.Sum256(append([]byte("greengagedyke stateless-reset "), o.ResetSecret...)))
	handshakes := rate.NewLimiter(rate.Limit(o.Handshakes), o.Handshakes)
	s.transport = &quic.Transport{
		Conn:                  o.Conn,
		ConnectionIDGenerator: idGenerator{ids: o.IDs},
		StatelessResetKey:     &resetKey,
		VerifySourceAddress: func(net.Addr) bool {
			if handshakes.Allow() {
				return false
			}
			s.addressValidations.Inc(1)
			return true
		},
	}
	cfg := &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
	cfg.GetConfigForClient = s.refuseIfEvacuated(cfg.Clone())
	listener, err := s.transport.Listen(http3.ConfigureTLSConfig(o.TLS), cfg)
	if err != nil {
		return nil, nil, errors.Wrap(err, "caller.New")
	}
	s.listener = listener
	s.server = &http3.Server{Handler: http.HandlerFunc(s.serve), ConnContext: s.countConnection}
	go s.accept()
	return s, s.close, nil
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	defer close(s.done)
	err := s.server.ServeListener(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, quic.ErrServerClosed) {
		s.Log.Error("caller-accept-failed", "error", err.Error())
	}
}

// Drain asks callers to open new connections, which reach other sidecars, and waits until all
// requests have ended, long-lived streams included, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "caller.Server.Drain")
}

func (s *Server) close() {
	s.server.Close()
	s.listener.Close()
	<-s.done
	s.transport.Close()
}
