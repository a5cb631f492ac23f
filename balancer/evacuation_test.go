package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/operator"
	"greengagedyke/platform"
	"greengagedyke/standin/store"
)

// evacuate writes or deletes the evacuation of a domain.
func (s *sourceSite) evacuate(domain string, restore bool) {
	s.t.Helper()
	put := platform.EncodeEvacuation(domain)
	transaction := platform.Transaction{Puts: []platform.Put{put}}
	if restore {
		transaction = platform.Transaction{Deletes: []string{put.Key}}
	}
	if _, _, err := s.store.Write(transaction); err != nil {
		s.t.Fatal(err)
	}
}

// awaitEvacuated waits until exactly the given domains are evacuated.
func (s *sourceSite) awaitEvacuated(want ...string) {
	s.t.Helper()
	var got []string
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if e := s.evacuated.Load(); e != nil {
			if got = slices.Sorted(maps.Values(e.Names)); slices.Equal(got, want) {
				return
			}
		}
	}
	s.t.Fatalf("got evacuated domains %v after 4 s, want %v", got, want)
}

// An evacuation reaches a watching balancer with the calls for the configuration, while the store is
// away for a time, drops its history, or is restored from a copy without it.
func TestWatchedEvacuations(t *testing.T) {
	s := newSourceSite(t)
	s.write(1)
	s.evacuate("east", false)
	s.watch()
	s.await(1)
	s.awaitEvacuated("east")
	time.Sleep(100 * time.Millisecond)
	taken := time.Now()
	calls := metrics.GetOrRegisterCounter("platform.calls", s.registry)
	before := calls.Count()
	s.evacuate("west", false)
	s.awaitEvacuated("east", "west")
	s.write(2)
	s.await(2)
	if n := calls.Count() - before; n > 4 {
		t.Errorf("got %d calls for two changes, want at most 4", n)
	}
	s.store.SetFaults(store.Faults{Down: true})
	s.evacuate("east", true)
	s.store.Compact()
	time.Sleep(100 * time.Millisecond)
	s.store.SetFaults(store.Faults{})
	s.awaitEvacuated("west")
	s.store.Restore(time.Since(taken))
	s.awaitEvacuated("east")
	if e := s.evacuated.Load(); e.Era != 1 {
		t.Errorf("got era %d, want 1", e.Era)
	}
}

// A balancer that does not watch the store takes no evacuations from its stale reads, which could
// take back newer ones.
func TestStaleReadNamesNoEvacuations(t *testing.T) {
	s := newSourceSite(t)
	s.write(1)
	s.evacuate("east", false)
	client := s.source.client
	watcher := operator.NewWatcher(client, platform.OperatorTarget(s.source.log, s.observe))
	if _, err := watcher.ReadStale(t.Context()); err != nil || s.evacuated.Load() != nil {
		t.Errorf("got %v, %v", s.evacuated.Load(), err)
	}
}

// At 550 balancers, of which 8 watch the store, and 1,067 sidecars in the evacuated domain, a change
// reaches all of them within a second after the first messages, if a tenth of these are lost.
func TestEvacuationSpread(t *testing.T) {
	const balancers, sidecars = 550, 1067
	worstHops, worstLeft := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		informed, told := map[int]bool{}, map[int]bool{}
		// send tells a number of receivers at random and returns those that are new.
		send := func(to map[int]bool, total, n int) (added []int) {
			for _, i := range r.Perm(total)[:n] {
				if !to[i] && r.IntN(10) > 0 {
					to[i] = true
					added = append(added, i)
				}
			}
			return added
		}
		next := send(informed, balancers, activeCount+standbyCount)
		hops := 0
		for ; len(next) > 0; hops++ {
			senders := next
			next = nil
			for range senders {
				send(told, sidecars, evacuationFanout)
				next = append(next, send(informed, balancers, gossipFanout)...)
			}
		}
		worstHops, worstLeft = max(worstHops, hops), max(worstLeft, balancers-len(informed))
		for range len(informed) { // the next gossip message of each
			send(told, sidecars, evacuationFanout)
			send(informed, balancers, gossipFanout)
		}
		if len(informed) != balancers || len(told) != sidecars {
			t.Errorf("seed %d: %d balancers and %d sidecars do not know after a second", seed, balancers-len(informed), sidecars-len(told))
		}
	}
	t.Logf("at most %d hops, and %d balancers left after them", worstHops, worstLeft)
}
