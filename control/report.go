package control

import (
	"context"
	"slices"
	"time"

	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/session"
)

const (
	// reportLifetime is how long a collector counts a report.
	reportLifetime = 15 * time.Second
	// maxBehind bounds the processes that a report names.
	maxBehind = 8
	// collectTimeout bounds a question to one collector.
	collectTimeout = time.Second
)

type storedReport struct {
	report *Report
	at     time.Time
}

// Summary says where a revision is in force, as the processes report it.
type Summary struct {
	// InForce is the number of processes that act on the revision or a later one.
	InForce int
	// Total is the number of processes that report.
	Total int
	// Behind names some of the others.
	Behind []string
	// Silent names the failure domains whose collector did not answer.
	Silent []string
}

// report counts this balancer and the processes that it is the first announce target of. The
// caller holds mu.
func (n *Node) report() *Report {
	counts := map[uint64]uint32{n.inForce: 1}
	r := &Report{Reporter: n.self.Identity}
	newest := n.history.Current().Revision
	if n.inForce < newest {
		r.Behind = append(r.Behind, n.self.Identity)
	}
	for id, d := range n.direct {
		if !d.counted || d.role != member.RoleSidecar {
			continue
		}
		counts[d.inForce]++
		if d.inForce < newest && len(r.Behind) < maxBehind {
			r.Behind = append(r.Behind, id)
		}
	}
	for revision, processes := range counts {
		r.Revisions = append(r.Revisions, &RevisionCount{Revision: revision, Processes: processes})
	}
	slices.Sort(r.Behind)
	return r
}

// collected sums the reports that this balancer has collected, and its own.
func (n *Node) collected() *Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reports[n.self.Identity] = storedReport{report: n.report(), at: time.Now()}
	counts := map[uint64]uint32{}
	sum := &Report{Reporter: n.self.Identity}
	for id, s := range n.reports {
		if time.Since(s.at) > reportLifetime {
			delete(n.reports, id)
			continue
		}
		for _, c := range s.report.Revisions {
			counts[c.Revision] += c.Processes
		}
		sum.Behind = append(sum.Behind, s.report.Behind...)
	}
	for revision, processes := range counts {
		sum.Revisions = append(sum.Revisions, &RevisionCount{Revision: revision, Processes: processes})
	}
	slices.Sort(sum.Behind)
	sum.Behind = sum.Behind[:min(len(sum.Behind), maxBehind)]
	return sum
}

// collectors returns the balancer that collects the reports of each failure domain.
func collectors(balancers []member.ObservedRecord) map[string]member.ObservedRecord {
	domains := map[string][]member.ObservedRecord{}
	for _, b := range balancers {
		domains[b.FailureDomain] = append(domains[b.FailureDomain], b)
	}
	chosen := map[string]member.ObservedRecord{}
	for domain, list := range domains {
		chosen[domain] = service.TopRendezvous("collector "+domain, list, 1, identity)[0]
	}
	return chosen
}

func identity(o member.ObservedRecord) string { return o.Identity }

// balancersAndSelf returns the live balancers, this one included.
func (n *Node) balancersAndSelf() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.view.Balancers()
	if n.self.Role == member.RoleBalancer {
		list = append(list, member.ObservedRecord{Record: n.self})
	}
	return list
}

// IsStoreReader reports whether this balancer is one of the few in its failure
// domain that read the platform's store.
func (n *Node) IsStoreReader() bool {
	self := n.Self()
	list := n.balancersAndSelf()
	list = slices.DeleteFunc(list, func(o member.ObservedRecord) bool { return o.FailureDomain != self.FailureDomain })
	readers := service.TopRendezvous("store-reader", list, storeReaders, identity)
	return slices.ContainsFunc(readers, func(o member.ObservedRecord) bool { return o.Identity == self.Identity })
}

// storeReaders is the number of balancers in a failure domain that read the store.
const storeReaders = 2

// Collect asks the collectors of all failure domains where a revision is in force.
func (n *Node) Collect(ctx context.Context, credentials *session.Credentials, revision uint64) Summary {
	var s Summary
	for domain, o := range collectors(n.balancersAndSelf()) {
		r, err := n.collectFrom(ctx, credentials, &o)
		if err != nil {
			s.Silent = append(s.Silent, domain)
			continue
		}
		for _, c := range r.Revisions {
			s.Total += int(c.Processes)
			if c.Revision >= revision {
				s.InForce += int(c.Processes)
			}
		}
		s.Behind = append(s.Behind, r.Behind...)
	}
	slices.Sort(s.Behind)
	slices.Sort(s.Silent)
	return s
}

func (n *Node) collectFrom(ctx context.Context, credentials *session.Credentials, o *member.ObservedRecord) (*Report, error) {
	if o.Identity == n.Self().Identity {
		return n.collected(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	peer, closePeer := session.NewClient(o.Control, credentials)
	defer closePeer()
	var r Report
	if err := peer.Call(ctx, &Call{Collect: &CollectRequest{}}, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
