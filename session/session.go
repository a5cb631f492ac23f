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
	// dialTimeout bounds the connection setup including the TLS handshake, at either end.
	dialTimeout = time.Second
	// pingTimeout is how long a session may take to answer a ping or to accept a write.
	pingTimeout = 700 * time.Millisecond
	// pingAfter is the time without received data after which a session is pinged if calls on it send
	// or wait for an answer. It is also the interval at which this is checked.
	pingAfter = 400 * time.Millisecond
	// readBuffer is the size in bytes of the read buffer of a stream.
	readBuffer = 512
	// maxMessage is the size of the largest accepted message in bytes.
	maxMessage = 2 << 20
)

// ErrLost means that the session ended or stopped responding while a call was open. The peer may
// or may not have processed the call.
var ErrLost = errors.New("session: lost")

// ErrUnreachable means that no session could be opened: the peer has received nothing of the call.
var ErrUnreachable = errors.New("session: peer is unreachable")

// yamuxConfig disables the keep-alives of yamux, since pingWhenSilent replaces them, and its limit
// on the time to open a stream.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = 10 * time.Second
	return cfg
}

// Stream is one open call, which carries messages in both directions until it is closed.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	// mux is the session that the stream belongs to.
	mux *yamux.Session
	// waiting counts the calls on the session that send or wait for an answer; nil at the server.
	waiting *atomic.Int64
}

func newStream(conn net.Conn, mux *yamux.Session, waiting *atomic.Int64) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, readBuffer), mux: mux, waiting: waiting}
}

// SendContext is like Send but fails when ctx ends. The stream can then only be closed.
func (s *Stream) SendContext(ctx context.Context, m proto.Message) error {
	stop := context.AfterFunc(ctx, func() { s.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	return s.Send(m)
}

// Send writes one message. Its error wraps ErrLost. It may have to wait until the peer has read
// earlier data.
func (s *Stream) Send(m proto.Message) error {
	if s.waiting != nil {
		s.waiting.Add(1)
		defer s.waiting.Add(-1)
	}
	if _, err := protodelim.MarshalTo(s.conn, m); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	return nil
}

// Receive reads one message. Its error is io.EOF if the peer ended the call, ctx.Err() if ctx ended,
// which closes the stream, and otherwise wraps ErrLost.
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

// Close ends the call. A Receive of the peer on this stream then returns io.EOF.
func (s *Stream) Close() error { return s.conn.Close() }

// muxConn is the connection below a yamux session. It records when data was last received, and
// writes each frame header together with the body that follows it: yamux writes them separately,
// and each write would be a TLS record and a system call of its own.
type muxConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix time in nanoseconds
	// waiting is the number of calls that send or wait for an answer.
	waiting atomic.Int64
	// header is the frame header that is written with the next body, if headerPending is set.
	header        [frameHeaderLen]byte
	headerPending bool
	// frameBuf is the reused buffer for a header and its body.
	frameBuf []byte
}

// The layout of a yamux frame header in bytes: version (1), type (1), flags (2), stream (4) and
// length (4).
const (
	frameHeaderLen    = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// Write implements net.Conn. It needs no lock, since yamux writes from one goroutine.
func (c *muxConn) Write(p []byte) (int, error) {
	if c.headerPending {
		c.headerPending = false
		c.frameBuf = append(append(c.frameBuf[:0], c.header[:]...), p...)
		n, err := c.Conn.Write(c.frameBuf)
		return max(0, n-frameHeaderLen), err
	}
	if len(p) == frameHeaderLen && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0 {
		copy(c.header[:], p)
		c.headerPending = true
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// pingWhenSilent pings the session mux whenever calls send or wait for answers and nothing was received
// on conn for pingAfter. It closes a session that does not answer, which ends all its calls: an open
// connection can stop passing data for good while new ones work.
func pingWhenSilent(conn *muxConn, mux *yamux.Session) {
	t := time.NewTicker(pingAfter)
	defer t.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-t.C:
		}
		silent := time.Since(time.Unix(0, conn.lastRead.Load()))
		if conn.waiting.Load() == 0 || silent < pingAfter {
			continue
		}
		if _, err := mux.Ping(); err != nil {
			mux.Close()
			return
		}
	}
}

// Handler serves one call. ctx ends with the session, and the stream is closed when Handler returns.
type Handler func(ctx context.Context, s *Stream)

// Serve accepts sessions from ln and serves their calls until ctx ends. It then closes the listener
// and all sessions, and waits for the handlers to return.
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
		tlsConn := tls.Server(&countingConn{Conn: conn, traffic: c.traffic}, c.tlsConfig())
		wg.Go(func() { serveSession(ctx, tlsConn, handle) })
	}
}

// serveSession does the TLS handshake on conn and serves the calls of the session until it ends.
func serveSession(ctx context.Context, conn *tls.Conn, handle Handler) {
	conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := conn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	mconn := &muxConn{Conn: conn}
	mux, err := yamux.Server(mconn, yamuxConfig())
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

// Client makes calls to one address. It opens a session when a call needs one, and a new one from
// another source port when the last has ended or stopped responding.
type Client struct {
	addr        netip.AddrPort
	credentials *Credentials

	mu sync.Mutex
	// mux is the current or last session; nil before the first.
	mux *yamux.Session
	// conn is the connection of mux; nil before the first.
	conn *muxConn
	// closed makes Open fail.
	closed bool
}

// NewClient returns a client for addr, and a function that closes the client and its session.
func NewClient(addr netip.AddrPort, c *Credentials) (*Client, func()) {
	client := &Client{addr: addr, credentials: c}
	return client, client.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.mux != nil {
		c.mux.Close()
	}
}

// Reset closes the session, if one is open. The next call opens a new one.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mux != nil {
		c.mux.Close()
	}
}

// Open starts a call. Its error wraps ErrUnreachable. If the session turns out to be closed, Open
// tries once more with a new one.
func (c *Client) Open(ctx context.Context) (*Stream, error) {
	for range 2 {
		mux, err := c.openSession(ctx)
		if err != nil {
			return nil, errors.WithMessagef(ErrUnreachable, "%s: %v", c.addr, err)
		}
		stream, err := mux.OpenStream()
		if err == nil {
			return newStream(stream, mux, &c.conn.waiting), nil
		}
		mux.Close()
	}
	return nil, errors.WithMessagef(ErrUnreachable, "%s: no stream", c.addr)
}

// openSession returns the current session, or a new one if there is none that is open.
func (c *Client) openSession(ctx context.Context) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.mux != nil && !c.mux.IsClosed() {
		return c.mux, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp4", c.addr.String())
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countingConn{Conn: raw, traffic: c.credentials.traffic}, c.credentials.tlsConfig())
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	mconn := &muxConn{Conn: conn}
	mux, err := yamux.Client(mconn, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	go pingWhenSilent(mconn, mux)
	c.mux = mux
	c.conn = mconn
	return mux, nil
}

// Call sends one request and reads one answer. It returns errors of Open, Send and Receive unchanged.
func (c *Client) Call(ctx context.Context, request, answer proto.Message) error {
	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.SendContext(ctx, request); err != nil {
		return err
	}
	return s.Receive(ctx, answer)
}
