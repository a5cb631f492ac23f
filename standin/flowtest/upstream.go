// Package flowtest provides stand-ins for the callers and the upstreams of flows, and for the router
// that selects a balancer for each flow. A flow is identified by its addresses and ports alone. The
// callers open flows and retransmit lost packets. The upstreams answer requests and send back
// packets of flows that they do not hold.
package flowtest

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

const (
	// maxDatagram is the size of the receive buffers in bytes.
	maxDatagram = 2048
	// heartbeatInterval is the pause between two heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// slotCount is the number of requests that an upstream works on at once.
	slotCount = 2
	// failureDomain is what upstreams report as their failure domain.
	failureDomain = "stand-in"
)

// Upstream answers each request with the request's bytes. While it is leaving, it ends each flow
// with the next answer. It is safe for concurrent use.
type Upstream struct {
	service string
	// outboundAddr is the sidecar's address for the upstream's packets.
	outboundAddr netip.AddrPort
	conn         *net.UDPConn
	codec        platform.PacketCodec
	pace         Pace

	mu sync.Mutex
	// slotsFreeAt are the times from which the slots are free.
	slotsFreeAt [slotCount]time.Time
	// openings are the opening packets that arrived, oldest first.
	openings []Opening
	// heartbeat is the heartbeat to send. Its Sequence is incremented before each sending.
	heartbeat flow.Heartbeat
	flows     map[flow.Key]*upstreamFlow
	// openedCount is the number of flows whose opening packet has arrived.
	openedCount int
	// newestFlowAt is when the opening packet of the newest flow arrived, zero if there is none.
	newestFlowAt time.Time
	// leftAt is when a heartbeat with the state leaving was first acknowledged, zero if never.
	leftAt time.Time
	// runCounts is the number of runs by request.
	runCounts map[string]int
	// muted is set while the upstream answers no requests.
	muted bool
}

// Pace is how fast an upstream works.
type Pace struct {
	// Work is how long a request occupies one of the upstream's slots before it is answered.
	Work time.Duration
	// Warmup is how long the upstream reports after its start that it warms up.
	Warmup time.Duration
}

// Opening is the arrival of an opening packet at an upstream.
type Opening struct {
	At  time.Time
	Key flow.Key
	// New is set if the upstream has not answered an opening packet of the flow before. WarmingUp is
	// set if the upstream warmed up.
	New, WarmingUp bool
}

// upstreamFlow is the upstream's state of a flow.
type upstreamFlow struct {
	// initialSequence is the upstream's first sequence number.
	initialSequence uint32
	// established is set once the caller has acknowledged initialSequence. Until then, the flow
	// may be open at another upstream.
	established bool
	// nextSequence is the sequence number of the next byte expected from the caller.
	nextSequence uint32
	// answerAt is when the answer to the last request is due.
	answerAt time.Time
}

// StartUpstream starts an upstream that receives packets and accepts health checks at addr, sends
// its packets to outboundAddr and its heartbeats to heartbeatAddr. The heartbeats give startedAt as its
// start. It returns the upstream with the function that stops it.
func StartUpstream(service, id string, startedAt time.Time, addr, outboundAddr, heartbeatAddr netip.AddrPort, pace Pace) (*Upstream, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, errors.Wrap(err, "flowtest.StartUpstream")
	}
	health, err := net.Listen("tcp4", addr.String())
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "flowtest.StartUpstream")
	}
	u := &Upstream{
		service:      service,
		outboundAddr: outboundAddr,
		conn:         conn,
		pace:         pace,
		heartbeat: flow.Heartbeat{
			ID: id, Service: service, Address: addr, FailureDomain: failureDomain, State: flow.StateReady, StartedAt: startedAt, Slots: slotCount,
		},
		flows:     map[flow.Key]*upstreamFlow{},
		runCounts: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { acceptHealthChecks(health); done <- struct{}{} }()
	go func() { u.read(); done <- struct{}{} }()
	go func() { u.sendHeartbeats(ctx, heartbeatAddr); done <- struct{}{} }()
	return u, sync.OnceFunc(func() {
		cancel()
		conn.Close()
		health.Close()
		for range cap(done) {
			<-done
		}
	}), nil
}

// acceptHealthChecks accepts connections and closes them at once, until ln is closed. A successful
// connect is enough for a health check.
func acceptHealthChecks(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		conn.Close()
	}
}

// Leave makes the upstream send heartbeats with the state leaving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heartbeat.State = flow.StateLeaving
}

// WarmUp makes the upstream's heartbeats say from now on that it warms up for another d.
func (u *Upstream) WarmUp(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heartbeat.WarmupLeft = d
}

// Mute makes the upstream answer no more requests. It still opens flows and sends heartbeats.
func (u *Upstream) Mute() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.muted = true
}

// OpenedCount returns the number of flows whose opening packet has arrived.
func (u *Upstream) OpenedCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openedCount
}

// Service returns the name of the upstream's service.
func (u *Upstream) Service() string { return u.service }

// Holds reports whether the upstream holds an established flow with the key.
func (u *Upstream) Holds(k flow.Key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f, ok := u.flows[k]
	return ok && f.established
}

// LeavingTimes returns when a heartbeat with the state leaving was first acknowledged, and when the
// newest flow arrived. A time is zero if that has not happened.
func (u *Upstream) LeavingTimes() (leftAt, newestFlowAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leftAt, u.newestFlowAt
}

// RunCounts returns the number of runs by request.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runCounts)
}

// sendHeartbeats sends heartbeats until ctx is done.
func (u *Upstream) sendHeartbeats(ctx context.Context, heartbeatAddr netip.AddrPort) {
	for ctx.Err() == nil {
		u.mu.Lock()
		u.heartbeat.Sequence++
		h := u.heartbeat
		h.WarmupLeft = max(h.WarmupLeft, u.warmupLeft())
		u.mu.Unlock()
		sendCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := platform.SendHeartbeat(sendCtx, heartbeatAddr, h) // may fail while the sidecar is down
		cancel()
		if err == nil && h.State == flow.StateLeaving {
			u.recordLeaving()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// warmupLeft returns how much longer the upstream warms up.
func (u *Upstream) warmupLeft() time.Duration {
	return max(0, time.Until(u.heartbeat.StartedAt.Add(u.pace.Warmup)))
}

// Openings returns the opening packets that arrived, oldest first.
func (u *Upstream) Openings() []Opening {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.openings)
}

// recordLeaving sets leftAt at its first call.
func (u *Upstream) recordLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leftAt.IsZero() {
		u.leftAt = time.Now()
	}
}

// read handles received packets until conn is closed.
func (u *Upstream) read() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p flow.Packet
		if err != nil || u.codec.Parse(buf[:n], true, &p) != nil {
			continue
		}
		u.handlePacket(buf[:n], &p)
	}
}

// handlePacket handles packet p, whose encoding is raw. It sends packets of unknown flows back.
func (u *Upstream) handlePacket(raw []byte, p *flow.Packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[p.Key]
	switch {
	case p.Opening():
		u.handleOpen(f, p)
	case f == nil || !f.established && p.Ack != f.initialSequence+1:
		u.codec.Bounce(raw)
		u.write(raw)
	case p.Flags.Has(flow.FlagReset):
		delete(u.flows, p.Key)
	default:
		u.handleData(f, raw, p)
	}
}

// handleOpen answers an opening packet. The flow f is nil unless an earlier copy of the packet has
// arrived. The caller holds mu.
func (u *Upstream) handleOpen(f *upstreamFlow, p *flow.Packet) {
	u.openings = append(u.openings, Opening{At: time.Now(), Key: p.Key, New: f == nil, WarmingUp: u.warmupLeft() > 0})
	if f == nil {
		f = &upstreamFlow{initialSequence: rand.Uint32(), nextSequence: p.Sequence + 1}
		u.flows[p.Key] = f
		u.openedCount++
		u.newestFlowAt = time.Now()
	}
	u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagOpen | flow.FlagAck, Sequence: f.initialSequence, Ack: p.Sequence + 1}, nil)
}

// handleData handles a packet that neither opens nor resets the flow f. It runs a request once, in the
// slot that is free first, and answers each copy of it that arrives after that. The caller holds mu.
func (u *Upstream) handleData(f *upstreamFlow, raw []byte, p *flow.Packet) {
	f.established = true
	if p.Flags.Has(flow.FlagEnd) {
		u.send(&flow.Packet{Key: p.Key, Flags: flow.FlagAck | flow.FlagEnd, Sequence: p.Ack, Ack: p.Sequence + 1}, nil)
		delete(u.flows, p.Key)
		return
	}
	if p.Length == 0 || u.muted {
		return
	}
	request := string(u.codec.Data(raw))
	if p.Sequence == f.nextSequence {
		u.runCounts[request]++
		f.nextSequence += uint32(p.Length)
		f.answerAt = u.occupySlot()
	} else if time.Now().Before(f.answerAt) {
		return
	}
	answer := flow.Packet{Key: p.Key, Flags: flow.FlagAck, Sequence: p.Ack, Ack: p.Sequence + uint32(p.Length)}
	time.AfterFunc(time.Until(f.answerAt), func() { u.answer(f, answer, request) })
}

// occupySlot takes the slot that is free first for one request and returns when it will be free again.
// The caller holds mu.
func (u *Upstream) occupySlot() time.Time {
	slot := &u.slotsFreeAt[0]
	for i := range u.slotsFreeAt {
		if u.slotsFreeAt[i].Before(*slot) {
			slot = &u.slotsFreeAt[i]
		}
	}
	if now := time.Now(); slot.Before(now) {
		*slot = now
	}
	*slot = slot.Add(u.pace.Work)
	return *slot
}

// answer sends an answer, unless the flow f has ended meanwhile.
func (u *Upstream) answer(f *upstreamFlow, p flow.Packet, content string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.flows[p.Key] != f {
		return
	}
	if u.heartbeat.State == flow.StateLeaving {
		p.Flags |= flow.FlagEnd
	}
	u.send(&p, []byte(content))
}

func (u *Upstream) send(p *flow.Packet, data []byte) { u.write(u.codec.AppendPacket(nil, p, data)) }

// write sends a packet to the sidecar. A packet that cannot be sent is lost, as it might be on a
// real network.
func (u *Upstream) write(raw []byte) { _, _ = u.conn.WriteToUDPAddrPort(raw, u.outboundAddr) }
