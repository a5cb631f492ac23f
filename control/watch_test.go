package control

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"greengagedyke/member"
)

// loneWitness is a balancer that hears a sidecar, which announces itself to another
// balancer as well, and some others.
func loneWitness(t *testing.T) (n *Node, lost member.Record, announce func(member.Record)) {
	t.Helper()
	n = NewNode(slog.New(slog.DiscardHandler), record(0, member.RoleBalancer, ""), newRing())
	announce = func(r member.Record) {
		n.confirm(&Announcement{Self: memberTo(&member.ObservedRecord{Record: r})})
	}
	lost = record(1, member.RoleSidecar, "service-1")
	lost.AnnouncedTo = 2
	announce(lost)
	return n, lost, announce
}

// watchFor looks for silent processes once a second, while other ones announce
// themselves.
func watchFor(n *Node, announce func(member.Record), d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for i := 2; i < 6; i++ {
			announce(record(i, member.RoleSidecar, "service-1"))
		}
		n.DetectSilent(time.Now())
	}
}

// A process is lost at the same moment as the other balancer that it announced itself
// to: the only witness that is left is enough after a while.
func TestLostWithItsOtherHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, lost, announce := loneWitness(t)
		watchFor(n, announce, 5*time.Second)
		if o, _ := n.view.Find(lost.Identity); !o.Alive() {
			t.Error("one witness was enough at once")
		}
		watchFor(n, announce, refuteTime)
		if o, _ := n.view.Find(lost.Identity); o.Alive() {
			t.Errorf("the lost process counts as alive, witnesses %v", o.Witnesses)
		}
	})
}

// A process that refutes its only witness stays alive.
func TestRefutedWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, lost, announce := loneWitness(t)
		watchFor(n, announce, 5*time.Second)
		lost.Sequence++
		n.merge([]*Member{memberTo(&member.ObservedRecord{Record: lost})}, time.Now())
		watchFor(n, announce, 2*refuteTime)
		if o, _ := n.view.Find(lost.Identity); !o.Alive() {
			t.Errorf("a process that refuted counts as lost, witnesses %v", o.Witnesses)
		}
	})
}
