package flow

import (
	"net/netip"
	"time"
)

// Action says what to do with a packet.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet.
	ActionDrop Action = iota
	// ActionForward sends the packet to a sidecar.
	ActionForward
	// ActionReset discards the packet and resets the caller's flow.
	ActionReset
	// ActionUpstream sends the packet to the sidecar's upstream.
	ActionUpstream
	// ActionCaller sends the packet to the caller.
	ActionCaller
	// ActionQueue keeps the packet until the upstream has capacity for the request.
	ActionQueue
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset", "upstream", "caller", "hold"}[a]
}

// Reason says why an action was chosen, for logs and counters.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the zero value; no verdict has it.
	ReasonNone Reason = iota
	// ReasonNoRoute: no route for the address, or all services of the route have weight 0.
	ReasonNoRoute
	// ReasonNoUpstream: no sidecar of the service accepts new flows.
	ReasonNoUpstream
	// ReasonPlaced: the balancer chose a sidecar for the opening packet, or the sidecar accepted it.
	ReasonPlaced
	// ReasonPlacedAgain: like ReasonPlaced, for an opening packet of a flow that was placed before.
	ReasonPlacedAgain
	// ReasonKnown: the sidecar has a record of the flow, or its upstream's packet shows that it
	// holds the flow.
	ReasonKnown
	// ReasonLookup: the balancer is looking up which sidecar holds the flow.
	ReasonLookup
	// ReasonUnknownFlow: the sidecar has no record of the flow, or the flow's upstream was replaced
	// or has crashed before it answered the opening packet.
	ReasonUnknownFlow
	// ReasonUpstreamClosed: the upstream accepts no new flows.
	ReasonUpstreamClosed
	// ReasonUpstreamBusy: so many requests wait that a sibling may be faster.
	ReasonUpstreamBusy
	// ReasonBounced: the upstream returned the packet, or reset a flow that the sidecar has no record
	// of and is not probing.
	ReasonBounced
	// ReasonUnanswered: the upstream did not answer the opening packet in time.
	ReasonUnanswered
	// ReasonOtherService: the packet is for another service than the upstream's.
	ReasonOtherService
	// ReasonNotOurs: the packet acknowledges data that another upstream sent.
	ReasonNotOurs
	// ReasonProbe: the packet is sent to the upstream to find out whether it holds the flow.
	ReasonProbe
	// ReasonUpstreamLost: the upstream that held the flow was replaced or has crashed.
	ReasonUpstreamLost
	// ReasonQueued: the request waits for the upstream to have capacity.
	ReasonQueued
	// ReasonFlowLost: a lookup has shown that no sidecar holds the flow.
	ReasonFlowLost
	// ReasonStale: the opening packet may have waited while the VM was suspended.
	ReasonStale
	// ReasonTooManyLookups: lookupLimit lookups are in progress already.
	ReasonTooManyLookups
	// ReasonWarmingUp: the upstream is warming up and gets no more new flows at the moment.
	ReasonWarmingUp
	// ReasonEvacuated: the failure domain is evacuated, or only sidecars in evacuated failure domains
	// could take the flow.
	ReasonEvacuated
	// ReasonOverload: the first request of the flow could not be answered before its caller gives up.
	ReasonOverload
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

// String returns the reason's name.
func (r Reason) String() string {
	names := [...]string{
		"none", "no-route", "no-upstream", "placed", "placed-again", "known", "search", "unknown-flow",
		"upstream-closed", "upstream-busy", "bounced", "unanswered", "other-service", "not-ours", "probe", "upstream-lost",
		"queued", "lost", "stale", "too-many-lookups", "warming-up", "evacuated", "overload",
	}
	return names[r]
}

// Path is the destination of a packet, with the service and policy of its flow and the sidecars that
// may get the packet next.
type Path struct {
	// To is the sidecar that gets the packet.
	To netip.AddrPort
	// Tag identifies the flow's service.
	Tag Tag
	// Policy applies to the flow's requests.
	Policy RequestPolicy
	// WarmupRate is the number of new flows a second that an upstream of the service takes while it
	// warms up; 0 if it is not limited.
	WarmupRate uint16
	// Confirm asks the receiver to notify the balancer if it holds the flow.
	Confirm bool
	// Fallbacks are the sidecars to try after To with an opening packet, in order. The first
	// FallbackCount of them are set.
	Fallbacks     [RankingDepth]netip.AddrPort
	FallbackCount int
	// FallbackTimes are the expected times to an answer from each fallback; 0 if unknown.
	FallbackTimes [RankingDepth]time.Duration
}

// add appends a fallback, unless all places are taken.
func (p *Path) add(addr netip.AddrPort) {
	if p.FallbackCount < len(p.Fallbacks) {
		p.Fallbacks[p.FallbackCount] = addr
		p.FallbackCount++
	}
}

// BalancerVerdict is a balancer's decision about a packet.
type BalancerVerdict struct {
	Action Action
	Reason Reason
	Path   Path
	// Expected is how long the answer to the first request of a new flow is expected to take; 0 unless
	// the flow was placed by expected time.
	Expected time.Duration
	// Buffer means that the packet has to be passed to BufferPacket, since its flow is being looked
	// up.
	Buffer bool
	// Undecided means that the decision may change once this balancer has a configuration and knows
	// all members.
	Undecided bool
}
