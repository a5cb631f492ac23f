package daemon

import (
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

// refusals are the reasons why a datagram is not read.
var refusals = [...]struct {
	err  error
	name string
}{
	{platform.ErrTruncated, "truncated"},
	{platform.ErrOversized, "oversized"},
	{platform.ErrForeign, "foreign"},
	{peer.ErrTruncated, "peer-truncated"},
	{peer.ErrForeign, "peer-foreign"},
}

// Counters count packets by the reason of the decision about them.
type Counters struct {
	Reasons  [flow.ReasonCount]metrics.Counter
	Received metrics.Counter
	// NotSent counts datagrams that could not be sent.
	NotSent metrics.Counter
	// Reports counts what sidecars or upstreams said of themselves.
	Reports metrics.Counter
	refused [len(refusals)]metrics.Counter
}

// NewCounters registers the counters.
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
		c.refused[i] = metrics.GetOrRegisterCounter("datagrams.refused."+refusals[i].name, r)
	}
	return c
}

// CountRefused counts a datagram that could not be read, by the reason.
func (c *Counters) CountRefused(err error) {
	for i := range refusals {
		if errors.Is(err, refusals[i].err) {
			c.refused[i].Inc(1)
			return
		}
	}
}
