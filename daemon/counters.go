package daemon

import (
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

// refusalReasons are the errors of parsing a datagram, with their names in metrics.
var refusalReasons = [...]struct {
	err  error
	name string
}{
	{platform.ErrTruncated, "truncated"},
	{platform.ErrOversized, "oversized"},
	{platform.ErrForeign, "foreign"},
	{peer.ErrTruncated, "peer-truncated"},
	{peer.ErrForeign, "peer-foreign"},
}

// Counters count the datagrams of a balancer or sidecar.
type Counters struct {
	// Reasons counts packets by the reason of the decision that was made about them.
	Reasons [flow.ReasonCount]metrics.Counter
	// Received counts datagrams received on the packet socket (in a balancer) or on the tunnel
	// socket (in a sidecar).
	Received metrics.Counter
	// NotSent counts datagrams that could not be sent, and failed reads of ReadUDP.
	NotSent metrics.Counter
	// Reports counts the load reports of sidecars (in a balancer) or the heartbeats of upstreams
	// (in a sidecar).
	Reports metrics.Counter
	// refused counts datagrams that could not be parsed, by their index in refusalReasons.
	refused [len(refusalReasons)]metrics.Counter
}

// NewCounters returns counters that are registered in r.
func NewCounters(r metrics.Registry) *Counters {
	c := &Counters{
		Received: metrics.GetOrRegisterCounter("packets.received", r),
		NotSent:  metrics.GetOrRegisterCounter("datagrams.not-sent", r),
		Reports:  metrics.GetOrRegisterCounter("reports.received", r),
	}
	for i := range c.Reasons {
		c.Reasons[i] = metrics.GetOrRegisterCounter("packets."+flow.Reason(i).String(), r)
	}
	for i := range c.refused {
		c.refused[i] = metrics.GetOrRegisterCounter("datagrams.refused."+refusalReasons[i].name, r)
	}
	return c
}

// CountRefused counts a datagram whose parsing failed with err. Errors that are not in
// refusalReasons are not counted.
func (c *Counters) CountRefused(err error) {
	for i := range refusalReasons {
		if errors.Is(err, refusalReasons[i].err) {
			c.refused[i].Inc(1)
			return
		}
	}
}
