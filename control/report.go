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
	// reportLifetime is how long a collector includes a report in its sum.
	reportLifetime = 15 * time.Second
	// maxBehind is the largest number of processes that a report lists as behind.
	maxBehind = 8
	// collectTimeout bounds a request for the report or the timeline of one process.
	collectTimeout = time.Second
)

// storedReport is a report and the time at which it was received.
type storedReport struct {
	report     *Report
	receivedAt time.Time
}

// Summary is the state of one revision across all processes, as far as they have reported it.
type Summary struct {
	// InForce is the number of processes that act on the revision or a later one.
	InForce int
	// Total is the number of processes that have reported.
	Total int
	// Behind lists the identities of up to maxBehind processes per failure domain that act on an
	// older revision than the newest one.
	Behind []string
	// Silent lists the failure domains whose collector did not answer.
	Silent []string
}

// buildReport returns the revisions in force at this balancer and at the sidecars that chose it as
// their first announce target. The caller holds mu.
func (n *Node) buildReport() *Report {
	counts := map[uint64]uint32{n.inForce: 1}
	r := &Report{Reporter: n.self.Identity}
	newest := n.history.Current().Revision
	if n.inForce < newest {
		r.Behind = append(r.Behind, n.self.Identity)
	}
	for id, p := range n.senders {
		if !p.counted || p.role != member.RoleSidecar {
			continue
		}
		counts[p.inForce]++
		if p.inForce < newest && len(r.Behind) < maxBehind {
			r.Behind = append(r.Behind, id)
		}
	}
	for revision, processes := range counts {
		r.Revisions = append(r.Revisions, &RevisionCount{Revision: revision, Processes: processes})
	}
	slices.Sort(r.Behind)
	return r
}

// sumReports returns the sum of the reports of this balancer and of those that report to it.
func (n *Node) sumReports() *Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reports[n.self.Identity] = storedReport{report: n.buildReport(), receivedAt: time.Now()}
	counts := map[uint64]uint32{}
	sum := &Report{Reporter: n.self.Identity}
	for id, s := range n.reports {
		if time.Since(s.receivedAt) > reportLifetime {
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

// collectors returns the balancer that collects reports for each failure domain, by domain.
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

// identity returns the identity that is hashed for service.TopRendezvous.
func identity(o member.ObservedRecord) string { return o.Identity }

// balancersAndSelf returns the live balancers, including this process if it is one.
func (n *Node) balancersAndSelf() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.view.Balancers()
	if n.self.Role == member.RoleBalancer {
		list = append(list, member.ObservedRecord{Record: n.self})
	}
	return list
}

// IsStoreReader reports whether this balancer is one of the storeReaders balancers in its failure
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

// Collect asks the collector of every failure domain for its report, and counts the processes that
// act on revision or a later one.
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

// collectFrom returns the sum of the reports at the collector o.
func (n *Node) collectFrom(ctx context.Context, credentials *session.Credentials, o *member.ObservedRecord) (*Report, error) {
	if o.Identity == n.Self().Identity {
		return n.sumReports(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	client, closeClient := session.NewClient(o.Control, credentials)
	defer closeClient()
	var r Report
	if err := client.Call(ctx, &Call{Collect: &CollectRequest{}}, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
