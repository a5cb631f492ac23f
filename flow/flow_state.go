package flow

import (
	"net/netip"
	"time"

	"greengagedyke/pace"
)

// The directions of a flow, as bits of flowState.ended.
const (
	callerEnded = 1 << iota
	upstreamEnded
	bothEnded = callerEnded | upstreamEnded
)

// flowState is a flow that the upstream holds, or may hold once it answers the opening packet.
type flowState struct {
	// firstSequence is the upstream's first sequence number, once answered is set. In a learned flow,
	// it is the one before the first packet received from the upstream.
	firstSequence uint32
	// answered is set once the upstream has answered the opening packet, or in a learned flow.
	answered bool
	// learned is set if this process has no record of the flow's opening packet and recorded the flow
	// when it received a packet from the upstream.
	//
	// established is set once the caller is known to use this upstream, since another one may have
	// answered the opening packet too.
	learned, established bool
	// sentLength is the distance from firstSequence to the end of what the upstream sent.
	sentLength uint32
	// opening is the opening packet; zero in a learned flow.
	opening TunnelPacket
	// offeredAt is when the upstream got the opening packet.
	offeredAt time.Time
	// pending is set while the opening packet waits for the upstream's answer, until
	// openingAnswerTimeout.
	pending bool
	// awaitingAnswer is set while a request waits for the first byte of the upstream's answer.
	awaitingAnswer bool
	// requestStart is when the upstream got the newest request.
	requestStart time.Time
	// slotSince is since when the newest request has a slot of the upstream; zero if it waits for one.
	slotSince time.Time
	// route and size are what the cost of the newest request depends on.
	route netip.AddrPort
	size  pace.Size
	// queued is set while a request waits in the queue.
	queued bool
	// retransmissions is the number of opening packets that came before the one that opened the
	// flow. It is 0 after the first request.
	retransmissions uint32
	policy          RequestPolicy
	// nextSequence is the sequence number after the last of the caller's bytes that arrived or were
	// acknowledged by the upstream. It is valid once nextKnown is set.
	nextSequence uint32
	nextKnown    bool
	// lastUsed is when a packet of the flow last arrived.
	lastUsed time.Time
	// ended has a bit for each direction that has ended.
	ended uint8
	// orphanReported is set once ForEachOrphan has reported the flow, so that its caller is sent a
	// reset only once.
	orphanReported bool
	// delivered is a copy of the newest packet of the caller that the upstream got. CheckFlows repeats
	// it. It is nil if there is none.
	delivered []byte
	// lastAnswer is when a packet of the upstream last arrived.
	lastAnswer time.Time
	// lost is set once the upstream is known not to hold the flow any more.
	lost bool
}

// probe is a packet of a flow without a record that was sent to the upstream to find out whether the
// upstream holds the flow.
type probe struct {
	sentAt time.Time
	// origin is the balancer to be notified of the upstream's answer; not valid after that.
	origin netip.AddrPort
	// notHeld is set once an answer has shown that the upstream does not hold the flow.
	notHeld bool
	// raw is a copy of the packet, until notHeld is set.
	raw []byte
}
