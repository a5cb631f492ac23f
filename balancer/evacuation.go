package balancer

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

const (
	// evacuationFanout is the number of sidecars that a balancer tells about a change at once and with
	// each gossip message for evacuationSpread.
	evacuationFanout = 32
	evacuationSpread = 3 * time.Second
	// domainNameLimit bounds the names of failure domains that are remembered for the log.
	domainNameLimit = 1000
)

// evacuationGossip is what a balancer needs to log evacuations and to spread changes to the sidecars. It
// is safe for concurrent use.
type evacuationGossip struct {
	// domains is the number of evacuated failure domains, and flows that of the flows in them.
	domains, flows metrics.Gauge

	mu sync.Mutex
	// names holds the names of failure domains by ID, as far as they are known.
	names map[uint32]string
	// changed holds when the evacuation of a failure domain last changed, for evacuationSpread.
	changed map[uint32]time.Time
	// emptied holds the evacuated failure domains that had no flows at the last tick.
	emptied map[uint32]bool
}

func newEvacuationGossip(domain string, r metrics.Registry) *evacuationGossip {
	return &evacuationGossip{
		domains: metrics.GetOrRegisterGauge("failure-domains.evacuated", r),
		flows:   metrics.GetOrRegisterGauge("failure-domains.evacuated.flows", r),
		names:   map[uint32]string{flow.DomainID(domain): domain},
		changed: map[uint32]time.Time{},
		emptied: map[uint32]bool{},
	}
}

// name returns the name of a failure domain, or its ID if the name is not known.
func (e *evacuationGossip) name(id uint32) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name, ok := e.names[id]; ok {
		return name
	}
	return strconv.FormatUint(uint64(id), 16)
}

// record records changed failure domains.
func (e *evacuationGossip) record(ids []uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		e.changed[id] = now
	}
}

// recent returns the failure domains that have changed within evacuationSpread.
func (e *evacuationGossip) recent(now time.Time) map[uint32]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := map[uint32]bool{}
	for id, at := range e.changed {
		if now.Sub(at) > evacuationSpread {
			delete(e.changed, id)
			continue
		}
		ids[id] = true
	}
	return ids
}

// recordFlows sets the gauges, and returns the evacuated failure domains that have no flows since this
// call. flows is the number of flows in each.
func (e *evacuationGossip) recordFlows(flows map[uint32]int) []uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var emptied []uint32
	sum := 0
	before := e.emptied
	e.emptied = map[uint32]bool{}
	for id, n := range flows {
		sum += n
		if n == 0 && !before[id] {
			emptied = append(emptied, id)
		}
		e.emptied[id] = n == 0
	}
	e.domains.Update(int64(len(flows)))
	e.flows.Update(int64(sum))
	return emptied
}

// storeEvacuations handles the evacuations that were read from the store.
func (f *FlowBalancer) storeEvacuations(e platform.EvacuatedDomains) {
	f.evacuation.mu.Lock()
	for id, name := range e.Names {
		if len(f.evacuation.names) < domainNameLimit {
			f.evacuation.names[id] = name
		}
	}
	f.evacuation.mu.Unlock()
	f.handleEvacuations(e.Evacuations, "store")
}

// handleEvacuations puts newer evacuations in force and passes a change on at once. from names their
// source in the log.
func (f *FlowBalancer) handleEvacuations(e flow.Evacuations, from string) {
	if e.IsZero() {
		return
	}
	now := f.clock.Now()
	f.mu.Lock()
	change := f.balancer.HandleEvacuations(e, now)
	f.mu.Unlock()
	if change.Empty() {
		return
	}
	f.logEvacuations(change.Evacuated, "failure-domain-evacuated", &e, from)
	f.logEvacuations(change.Restored, "failure-domain-restored", &e, from)
	if change.Held > 0 {
		f.log.Warn("evacuations-held", "count", change.Held, "for-ms", flow.EvacuationHold.Milliseconds(), "era", e.Era, "revision", e.Revision, "from", from)
	}
	f.evacuation.record(slices.Concat(change.Evacuated, change.Restored), now)
	f.gossipToBalancers()
	f.tellEvacuations(now)
}

// logEvacuations logs an event for each of the failure domains.
func (f *FlowBalancer) logEvacuations(ids []uint32, event string, e *flow.Evacuations, from string) {
	for _, id := range ids {
		f.mu.Lock()
		sidecars := len(f.balancer.MembersIn(map[uint32]bool{id: true}))
		f.mu.Unlock()
		f.log.Info(event, "failure-domain", f.evacuation.name(id), "sidecars", sidecars, "era", e.Era, "revision", e.Revision, "from", from)
	}
}

// tickEvacuations ends evacuations that were held, repeats recent changes to sidecars, and logs when
// an evacuated failure domain has no flows any more. It has to be called every gossipInterval.
func (f *FlowBalancer) tickEvacuations(now time.Time) {
	f.mu.Lock()
	restored := f.balancer.ExpireEvacuations(now)
	flows := f.balancer.EvacuatedDomains()
	e := f.balancer.Evacuations()
	f.mu.Unlock()
	f.logEvacuations(restored, "failure-domain-restored", &e, "hold")
	f.evacuation.record(restored, now)
	for _, id := range f.evacuation.recordFlows(flows) {
		f.log.Info("failure-domain-empty", "failure-domain", f.evacuation.name(id))
	}
	f.tellEvacuations(now)
}

// tellEvacuations sends the evacuations to some of the sidecars in failure domains that have changed
// recently. All balancers together reach each sidecar several times within evacuationSpread.
func (f *FlowBalancer) tellEvacuations(now time.Time) {
	ids := f.evacuation.recent(now)
	if len(ids) == 0 {
		return
	}
	f.mu.Lock()
	addrs := f.balancer.MembersIn(ids)
	f.mu.Unlock()
	f.sendAll(f.evacuationsMessage(), addrs[:min(len(addrs), evacuationFanout)])
}

// isEvacuationChange reports whether a sidecar's state has changed only by an evacuation. All sidecars of
// a failure domain then report at once and need no gossip in reply.
func isEvacuationChange(before, after flow.State) bool {
	return before == flow.StateReady && after == flow.StateEvacuated || before == flow.StateEvacuated && after == flow.StateReady
}

// answerReport sends the evacuations to a sidecar whose report shows that it does not know them.
func (f *FlowBalancer) answerReport(from netip.AddrPort, l *flow.Load) {
	f.mu.Lock()
	unknown := f.balancer.EvacuationUnknown(l)
	f.mu.Unlock()
	if unknown {
		f.send(f.evacuationsMessage(), from)
	}
}

// evacuationsMessage encodes a gossip message about this balancer and the evacuations only.
func (f *FlowBalancer) evacuationsMessage() []byte {
	f.mu.Lock()
	l := peer.Balancers{Version: f.balancer.Configuration().Version, Evacuations: f.balancer.Evacuations()}
	l.SidecarCount, _ = f.balancer.MemberCounts(f.clock.Now())
	f.mu.Unlock()
	l.Infos = []peer.BalancerInfo{{Addr: f.cfg.Tunnel, StoreReachable: f.source.storeReachable()}}
	return peer.AppendBalancers(nil, &l)
}
