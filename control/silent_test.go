package control

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"greengagedyke/member"
)

// newSingleWitness returns a balancer, the record of a sidecar that has announced itself to it and
// to one other balancer, and a function that announces a record to the balancer.
func newSingleWitness(t *testing.T) (n *Node, lost member.Record, announce func(member.Record)) {
	t.Helper()
	n = NewNode(slog.New(slog.DiscardHandler), testRecord(0, member.RoleBalancer, ""), newRing())
	announce = func(r member.Record) {
		n.confirm(&Announcement{Self: encodeMember(&member.ObservedRecord{Record: r})})
	}
	lost = testRecord(1, member.RoleSidecar, "service-1")
	lost.AnnouncedTo = 2
	announce(lost)
	return n, lost, announce
}

// detectFor runs DetectSilent once a second for d, while other sidecars announce themselves.
func detectFor(n *Node, announce func(member.Record), d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for i := 2; i < 6; i++ {
			announce(testRecord(i, member.RoleSidecar, "service-1"))
		}
		n.DetectSilent(time.Now())
	}
}

// A process is lost at the same moment as one of the two balancers that it announced itself to. The
// other balancer then suffices as a witness once refuteTimeout has passed.
func TestLostWithOtherAnnounceTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, lost, announce := newSingleWitness(t)
		detectFor(n, announce, 5*time.Second)
		if o, _ := n.view.Find(lost.Identity); !o.Alive() {
			t.Errorf("the process counts as lost before refuteTimeout, witnesses %v", o.Witnesses)
		}
		detectFor(n, announce, refuteTimeout)
		if o, _ := n.view.Find(lost.Identity); o.Alive() {
			t.Errorf("the lost process counts as alive, witnesses %v", o.Witnesses)
		}
	})
}

// A process that refutes its only witness with a new sequence stays alive.
func TestRefutedWitnessIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, lost, announce := newSingleWitness(t)
		detectFor(n, announce, 5*time.Second)
		lost.Sequence++
		n.merge([]*Member{encodeMember(&member.ObservedRecord{Record: lost})}, time.Now())
		detectFor(n, announce, 2*refuteTimeout)
		if o, _ := n.view.Find(lost.Identity); !o.Alive() {
			t.Errorf("the process that refuted its witness counts as lost, witnesses %v", o.Witnesses)
		}
	})
}
