package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

const (
	// beatInterval is beat_ms of the small deployments.
	beatInterval = 1200 * time.Millisecond
	// beatTimeout is how long a backend waits for the acknowledgement of a heartbeat.
	beatTimeout = time.Second
	maxDatagram = 2048
)

// backend is a stand-in for an application backend: it holds flows, runs each request once and sends
// heartbeats with all fields of the pages. It never sends a reset.
type backend struct {
	record   *record
	service  string
	id       string
	born     time.Time
	addr     netip.AddrPort
	outbound netip.AddrPort
	control  netip.AddrPort
	conn     *net.UDPConn
	health   *http.Server
	codec    platform.PacketCodec
	// cancel ends the heartbeats, and done waits for all goroutines.
	cancel context.CancelFunc
	done   sync.WaitGroup
	client *http.Client

	mu sync.Mutex
	// sequence is that of the last heartbeat.
	sequence uint64
	flows    map[flow.Key]*backendFlow
	runs     map[string]int
}

// backendFlow is the backend's end of a flow.
type backendFlow struct {
	first, next uint32
	established bool
}

// startBackend starts a backend at addr. It sends its packets to outbound and its heartbeats to control.
func startBackend(r *record, service, id string, born time.Time, addr, outbound, control netip.AddrPort) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "startBackend")
	}
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "startBackend")
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{
		record: r, service: service, id: id, born: born, addr: addr, outbound: outbound, control: control, conn: conn, cancel: cancel,
		client: &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		flows:  map[flow.Key]*backendFlow{}, runs: map[string]int{},
	}
	b.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	b.done.Go(func() { _ = b.health.Serve(ln) })
	b.done.Go(b.read)
	b.done.Go(func() { b.beat(ctx) })
	r.write("backend %s of %s starts at %s, born %d", id, service, addr, born.UnixMilli())
	return b, nil
}

// crash ends the backend at once; it sends nothing more and forgets its flows.
func (b *backend) crash() {
	b.cancel()
	b.conn.Close()
	b.health.Close()
	b.done.Wait()
	b.record.write("backend %s crashes", b.id)
}

// beat sends heartbeats until ctx ends.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		status, err := b.sendBeat(ctx, b.control)
		b.record.write("backend %s heartbeat %d: %s", b.id, b.lastSequence(), outcome(status, err))
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

func (b *backend) lastSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sequence
}

// beatBody returns the fields of the next heartbeat.
func (b *backend) beatBody() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": zoneName, "version": "v1", "slots": 2, "state": "ready",
		"cold_left_ms": 0, "sequence": b.sequence, "born": b.born.UnixMilli(),
	}
}

// sendBeat sends the next heartbeat to an address.
func (b *backend) sendBeat(ctx context.Context, to netip.AddrPort) (int, error) {
	return put(ctx, b.client, to, b.id, b.beatBody())
}

// put sends a heartbeat and returns the status of the response.
func put(ctx context.Context, client *http.Client, to netip.AddrPort, id string, body map[string]any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "put")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", to, id), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "put")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "put")
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// outcome describes the response to a heartbeat.
func outcome(status int, err error) string {
	if err != nil {
		return "no response"
	}
	return fmt.Sprintf("status %d", status)
}

// read handles packets until the socket is closed.
func (b *backend) read() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p flow.Packet
		if err == nil && b.codec.Parse(buf[:n], true, &p) == nil {
			b.handle(buf[:n], &p)
		}
	}
}

// handle answers an opening packet, handles a packet of a flow that the backend holds, and returns any
// other packet.
func (b *backend) handle(raw []byte, p *flow.Packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[p.Key]
	switch {
	case p.Opening():
		if f == nil {
			f = &backendFlow{first: rand.Uint32(), next: p.Sequence + 1}
			b.flows[p.Key] = f
		}
		b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagOpen | flow.FlagAck, Sequence: f.first, Ack: f.next}, nil)
	case f == nil || !f.established && p.Ack != f.first+1:
		b.codec.Bounce(raw)
		_, _ = b.conn.WriteToUDPAddrPort(raw, b.outbound) // lost, as on a network
	case p.Flags.Has(flow.FlagReset):
		delete(b.flows, p.Key)
	case p.Flags.Has(flow.FlagEnd):
		delete(b.flows, p.Key)
		b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck | flow.FlagEnd, Sequence: p.Ack, Ack: p.Sequence + 1}, nil)
	default:
		f.established = true
		b.serve(f, raw, p)
	}
}

// serve runs a request that is new, and answers each copy of it. The caller holds mu.
func (b *backend) serve(f *backendFlow, raw []byte, p *flow.Packet) {
	if p.Length == 0 {
		return
	}
	id := strings.TrimSpace(string(b.codec.Data(raw)))
	if p.Sequence == f.next {
		f.next += uint32(p.Length)
		b.runs[id]++
		b.record.write("backend %s of %s runs %s", b.id, b.service, id)
	}
	b.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck, Sequence: p.Ack, Ack: p.Sequence + uint32(p.Length)}, []byte("200 "+id+" by "+b.service))
}

func (b *backend) send(p *flow.Packet, data []byte) {
	_, _ = b.conn.WriteToUDPAddrPort(b.codec.AppendPacket(nil, p, data), b.outbound) // lost, as on a network
}

// holds reports whether the backend holds an open flow.
func (b *backend) holds(k flow.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[k]
	return f != nil && f.established
}
