package session

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout = time.Second
	// pingTimeout is how long a session that keeps a call waiting may take to
	// prove that it still works.
	pingTimeout = 700 * time.Millisecond
	// probeAfter is how long a session with open calls may be silent before it must
	// prove itself.
	probeAfter = 400 * time.Millisecond
	readBuffer = 512
	// maxMessage is the largest message in bytes.
	maxMessage = 2 << 20
)

// ErrLost means that the session ended or fell silent while a call was open.
// What the peer did with the call is not known.
var ErrLost = errors.New("session: lost")

// ErrUnreachable means that no session could be opened: the peer never saw the call.
var ErrUnreachable = errors.New("session: peer is unreachable")

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = 10 * time.Second
	return cfg
}

// Stream is one open call: messages in both directions until it is closed.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	mux  *yamux.Session
	// waiting counts the calls that wait for an answer; nil at the serving end.
	waiting *atomic.Int64
}

func newStream(conn net.Conn, mux *yamux.Session, waiting *atomic.Int64) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, readBuffer), mux: mux, waiting: waiting}
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	if _, err := protodelim.MarshalTo(s.conn, m); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	return nil
}

// Receive reads one message. io.EOF means that the peer ended the call.
func (s *Stream) Receive(ctx context.Context, m proto.Message) error {
	if s.waiting != nil {
		s.waiting.Add(1)
		defer s.waiting.Add(-1)
	}
	stop := context.AfterFunc(ctx, func() { s.conn.Close(); s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	err := opts.UnmarshalFrom(s.r, m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && ctx.Err() == nil && !s.mux.IsClosed():
		return io.EOF
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return errors.WithMessage(ErrLost, err.Error())
	}
}

// Close ends the call. A peer that still works on it is told.
func (s *Stream) Close() error { return s.conn.Close() }

// heardConn notes when anything was last read from a connection. It writes a frame
// header together with the body that follows it, since yamux writes them apart and
// each write would be a TLS record and a system call of its own.
type heardConn struct {
	net.Conn
	heard atomic.Int64 // Unix time in nanoseconds
	// waiting is the number of calls that wait for an answer.
	waiting atomic.Int64
	header  [frameHeaderLen]byte
	held    bool
	frame   []byte
}

// The layout of a yamux frame header: version, type, flags, stream and length.
const (
	frameHeaderLen    = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// Write implements net.Conn. yamux writes from one goroutine.
func (c *heardConn) Write(p []byte) (int, error) {
	if c.held {
		c.held = false
		c.frame = append(append(c.frame[:0], c.header[:]...), p...)
		n, err := c.Conn.Write(c.frame)
		return max(0, n-frameHeaderLen), err
	}
	if len(p) == frameHeaderLen && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0 {
		copy(c.header[:], p)
		c.held = true
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// watch makes a session on which calls wait for answers prove that it works whenever nothing has
// been heard on it, and closes it when it does not, which ends all its calls. An
// open connection can go silent for good while new ones work.
func watch(conn *heardConn, mux *yamux.Session) {
	t := time.NewTicker(probeAfter)
	defer t.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-t.C:
		}
		silent := time.Since(time.Unix(0, conn.heard.Load()))
		if conn.waiting.Load() == 0 || silent < probeAfter {
			continue
		}
		if _, err := mux.Ping(); err != nil {
			mux.Close()
			return
		}
	}
}

// Handler serves one call. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Serve accepts sessions from ln and serves their calls until ctx ends; then it
// closes everything and waits for the handlers.
func Serve(ctx context.Context, log *slog.Logger, ln net.Listener, c *Credentials, handle Handler) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("session-accept-failed", "error", err.Error())
			time.Sleep(10 * time.Millisecond)
			continue
		}
		secured := tls.Server(&countedConn{Conn: conn, traffic: c.traffic}, c.config())
		wg.Go(func() { serveSession(ctx, secured, handle) })
	}
}

func serveSession(ctx context.Context, conn *tls.Conn, handle Handler) {
	conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := conn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	heard := &heardConn{Conn: conn}
	mux, err := yamux.Server(heard, yamuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { mux.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			cancel()
			return
		}
		wg.Go(func() {
			defer stream.Close()
			handle(ctx, newStream(stream, mux, nil))
		})
	}
}

// Client is the dialing end of a session, which is opened when a call needs it and
// replaced from a new source port when it has fallen silent.
type Client struct {
	addr        netip.AddrPort
	credentials *Credentials

	mu   sync.Mutex
	mux  *yamux.Session
	conn *heardConn
	dead bool
}

// NewClient returns the dialing end towards addr and its clean-up function.
func NewClient(addr netip.AddrPort, c *Credentials) (*Client, func()) {
	p := &Client{addr: addr, credentials: c}
	return p, p.close
}

func (p *Client) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	if p.mux != nil {
		p.mux.Close()
	}
}

// Reset closes the session, if one is open. The next call opens a new one.
func (p *Client) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mux != nil {
		p.mux.Close()
	}
}

// Open starts a call. The error is ErrUnreachable when the peer saw nothing of it.
func (p *Client) Open(ctx context.Context) (*Stream, error) {
	for range 2 {
		mux, err := p.session(ctx)
		if err != nil {
			return nil, errors.WithMessagef(ErrUnreachable, "%s: %v", p.addr, err)
		}
		stream, err := mux.OpenStream()
		if err == nil {
			return newStream(stream, mux, &p.conn.waiting), nil
		}
		mux.Close()
	}
	return nil, errors.WithMessagef(ErrUnreachable, "%s: no stream", p.addr)
}

func (p *Client) session(ctx context.Context) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return nil, net.ErrClosed
	}
	if p.mux != nil && !p.mux.IsClosed() {
		return p.mux, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp4", p.addr.String())
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countedConn{Conn: raw, traffic: p.credentials.traffic}, p.credentials.config())
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	heard := &heardConn{Conn: conn}
	mux, err := yamux.Client(heard, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	go watch(heard, mux)
	p.mux = mux
	p.conn = heard
	return mux, nil
}

// Call sends one request and reads one answer.
func (p *Client) Call(ctx context.Context, request, answer proto.Message) error {
	s, err := p.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(request); err != nil {
		return err
	}
	return s.Receive(ctx, answer)
}
