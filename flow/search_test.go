package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A balancer that knows nothing of a flow asks every sidecar, those of other services
// too: the route may have led there before.
func TestSearchReachesEveryMember(t *testing.T) {
	for _, n := range []int{1, 4, 9, 47} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			now := time.Unix(100, 0)
			s := testSteering(n, now)
			report(s, 1000, otherName, 1, now)
			v := s.Decide(dataPacket(), now)
			if n > wideSearch {
				if got := asked(&v); len(got) != RankingDepth {
					t.Errorf("asked %d sidecars at first", len(got))
				}
				v = s.Decide(dataPacket(), now.Add(200*time.Millisecond))
			}
			if got := asked(&v); len(got) != n+1 {
				t.Errorf("asked %d of %d sidecars", len(got), n+1)
			}
		})
	}
}

// Open flows go on when all processes were killed while the store is away.
func TestSearchWithoutConfiguration(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSteering("a", now)
	report(s, 0, testName, 1, now)
	if v := s.Decide(dataPacket(), now); v.Action != ActionForward || v.Path.To != member(0) {
		t.Errorf("%v to %v", v.Action, v.Path.To)
	}
	if v := s.Decide(openingPacket(0), now); v.Action == ActionForward {
		t.Error("a new flow was placed without a configuration")
	}
}

// A flow is only given up when every member of the system says that it does not hold it.
func TestLostFlow(t *testing.T) {
	const n = 6
	start := time.Unix(100, 0)
	later := start.Add(settledAfter + time.Millisecond)
	for _, tt := range []struct {
		name    string
		prepare func(s *Steering)
		answers int
		want    bool
	}{
		{"all paths missed", func(*Steering) {}, 2, true},
		{"one path is silent", func(*Steering) {}, 1, false},
		{"a peer knows more members", func(s *Steering) { s.PeerMembers(testPeer, n+1, start) }, 2, false},
		{"a member has just joined", func(s *Steering) { report(s, 99, testName, 1, later) }, 2, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSteering(n, start)
			v := s.Decide(dataPacket(), later)
			tt.prepare(s)
			lost := false
			var ack uint32
			for i := range tt.answers {
				ack, lost = s.Missed(testKey, member(i), v.Path.Search, later)
			}
			if lost != tt.want || lost && ack != 77 {
				t.Errorf("lost %v with acknowledgement %d, want %v", lost, ack, tt.want)
			}
		})
	}
}

// A member that only a balancer which has stopped since knew may hold the flow: nothing
// is given up until the member has reported and been asked, or is long gone.
func TestRumouredMember(t *testing.T) {
	start := time.Unix(100, 0)
	s := testSteering(2, start)
	if unknown := s.Rumour([]netip.AddrPort{member(1), member(7)}, start); !slices.Equal(unknown, []netip.AddrPort{member(7)}) {
		t.Errorf("unknown: %v", unknown)
	}
	ask := func(now time.Time) bool {
		for i := range 2 {
			report(s, i, testName, uint32(now.Unix()), now)
		}
		s.Expire(now)
		v := s.Decide(dataPacket(), now)
		_, lost := s.Missed(testKey, member(1), v.Path.Search, now)
		return lost
	}
	if ask(start.Add(forgetAfter + time.Second)) {
		t.Error("given up though a member was not asked")
	}
	if !ask(start.Add(rumourAge + time.Second)) {
		t.Error("never given up")
	}
}

// After a loss of power all balancers are new. The store names the members: once all of
// them have reported, flows that nobody holds are given up at once, and not before.
func TestRegisteredMembers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		registered int
		after      time.Duration
		want       bool
	}{
		{"all have reported", 6, registeredAfter + time.Millisecond, true},
		{"one has not reported", 7, settledAfter, false},
		{"the store was not read", 0, registeredAfter + time.Millisecond, false},
		{"one does not come back", 7, settledAfter + time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			s := testSteering(6, now)
			var addrs []netip.AddrPort
			for i := range tt.registered {
				addrs = append(addrs, member(i))
			}
			s.Registered(addrs)
			now = now.Add(tt.after)
			v := s.Decide(dataPacket(), now)
			lost := false
			for i := range 2 {
				_, lost = s.Missed(testKey, member(i), v.Path.Search, now)
			}
			if lost != tt.want {
				t.Errorf("lost %v, want %v", lost, tt.want)
			}
		})
	}
}

// A sidecar is lost for good. Other balancers go on to mention it for a while, each until
// it has forgotten it: the callers of its flows are told soon after that.
func TestLostMemberDoesNotHoldVerdictsUp(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(3, now)
	for range 6 {
		now = now.Add(time.Second)
		for i := range 2 {
			report(s, i, testName, uint32(now.Unix()), now)
		}
		s.Expire(now)
		known := 3
		if now.Sub(time.Unix(100, 0)) > forgetAfter+time.Second {
			known = 2
		}
		s.PeerMembers(testPeer, known, now)
		if known == 3 {
			s.Rumour([]netip.AddrPort{member(2)}, now)
		}
	}
	v := s.Decide(dataPacket(), now)
	if _, lost := s.Missed(testKey, member(1), v.Path.Search, now); !lost {
		t.Error("the caller is not told")
	}
}

// A search that did not ask members that were found while it ran gives nothing up.
func TestSearchBeforeTheMembersWereKnown(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(6, now)
	v := s.Decide(dataPacket(), now)
	report(s, 6, testName, 1, now)
	now = now.Add(settledAfter + time.Millisecond)
	for i := range 2 {
		if _, lost := s.Missed(testKey, member(i), v.Path.Search, now); lost {
			t.Error("given up though one member was not asked")
		}
	}
}

// What an earlier search missed does not count for a later one.
func TestLateMissesDoNotCount(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(6, now)
	now = now.Add(settledAfter + time.Millisecond)
	first := s.Decide(dataPacket(), now)
	second := s.Decide(dataPacket(), now.Add(200*time.Millisecond))
	now = now.Add(time.Second)
	s.Missed(testKey, member(0), first.Path.Search, now)
	if _, lost := s.Missed(testKey, member(1), second.Path.Search, now); lost {
		t.Error("given up with one path unanswered")
	}
}

// A sidecar that restarted is searched for the flow like all others.
func TestRestartedSidecarIsNotTrusted(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(3, now)
	s.Located(testKey, member(1), now)
	if v := s.Decide(dataPacket(), now); v.Reason != ReasonKnown || v.Path.To != member(1) {
		t.Errorf("%v to %v", v.Reason, v.Path.To)
	}
	s.Report(member(1), Load{Start: 2, Sequence: 1, Tag: TagOf(testName), State: StateWaiting}, now)
	v := s.Decide(dataPacket(), now)
	if v.Reason != ReasonSearch || v.Path.To != member(1) {
		t.Errorf("%v first to %v", v.Reason, v.Path.To)
	}
}

func checkVerdict(t *rapid.T, s *Steering, p *Packet, held map[Key]netip.AddrPort, now time.Time) {
	v := s.Decide(p, now)
	at, known := held[p.Key]
	if m, ok := s.Member(at); known && ok && m.Load.Start == 1 && (v.Action != ActionForward || v.Path.To != at) {
		t.Fatalf("flow held at %v: %v to %v", at, v.Action, v.Path.To)
	}
	if v.Action != ActionForward {
		return
	}
	for a := range asked(&v) {
		m, ok := s.Member(a)
		if !ok {
			t.Fatalf("sent to %v, which is no member", a)
		}
		if v.Reason == ReasonPlaced && (m.Load.State != StateReady || m.Load.Tag != TagOf(testName)) {
			t.Fatalf("new flow to %v, %v", a, m.Load.State)
		}
	}
}

func benchmarkDecide(b *testing.B, members, flows int) {
	now := time.Unix(100, 0)
	s := testSteering(members, now)
	for i := range flows {
		s.flows.put(keyOf(i), location{addr: member(i % members), confirmed: true, start: 1}, now)
	}
	p := dataPacket()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		p.Key = keyOf(i % flows)
		s.Decide(p, now)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range [][2]int{{7, 10}, {7, 40_000}, {7, 400_000}, {3200, 10}, {3200, 400_000}} {
		b.Run(fmt.Sprintf("members=%d/flows=%d", size[0], size[1]), func(b *testing.B) {
			benchmarkDecide(b, size[0], size[1])
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, members := range []int{7, 3200} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			now := time.Unix(100, 0)
			s := testSteering(members, now)
			p := openingPacket(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Key = keyOf(i % 40_000)
				s.Decide(p, now)
			}
		})
	}
}

// Until the configuration and all members are known, packets are to be decided about again.
func TestUndecided(t *testing.T) {
	now := time.Unix(100, 0)
	later := now.Add(settledAfter + time.Millisecond)
	empty := NewSteering("a", now)
	for _, tt := range []struct {
		name string
		s    *Steering
		p    *Packet
		at   time.Time
		want bool
	}{
		{"opening packet without a configuration", empty, openingPacket(0), now, true},
		{"open flow without a configuration", empty, dataPacket(), now, true},
		{"opening packet while members join", testSteering(0, now), openingPacket(0), now, true},
		{"open flow while members join", testSteering(3, now), dataPacket(), now, true},
		{"placed while members join", testSteering(3, now), openingPacket(0), now, false},
		{"open flow when all members are known", testSteering(3, now), dataPacket(), later, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if v := tt.s.Decide(tt.p, tt.at); v.Undecided != tt.want {
				t.Errorf("undecided %v (%v, %v)", v.Undecided, v.Action, v.Reason)
			}
			if tt.want && tt.s.Decided(tt.at) {
				t.Error("already decided")
			}
		})
	}
}

// Sidecars of a large system report more rarely, and say so: they are not silent before
// their next report is due.
func TestRareReports(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(0, now)
	const interval = 10 * time.Second
	l := Load{Start: 1, Sequence: 1, Tag: TagOf(testName), Domain: DomainOf("a"), State: StateReady, Slots: 2, Interval: interval}
	s.Report(member(0), l, now)
	for _, tt := range []struct {
		age         time.Duration
		all, taking int
	}{
		{interval + time.Second, 1, 1},
		{silentReports*interval + 1, 1, 0},
		{forgetReports*interval + 1, 0, 0},
	} {
		s.Expire(now.Add(tt.age))
		if all, taking := s.Members(now.Add(tt.age)); all != tt.all || taking != tt.taking {
			t.Errorf("after %v: %d members, %d take flows, want %d, %d", tt.age, all, taking, tt.all, tt.taking)
		}
	}
}

// repeat is the time after which a caller sends a packet again.
const repeat = 200 * time.Millisecond

// reached counts the members on all paths of a verdict.
func reached(v Verdict) int {
	n := 1 + v.Path.N
	for i := range v.More {
		n += 1 + v.More[i].N
	}
	return n
}

// Among many members the first search for a flow takes one path along the ranked ones,
// the next one reaches all.
func TestFirstSearchIsNarrow(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(47, now)
	now = now.Add(settledAfter + time.Millisecond)
	first := s.Decide(dataPacket(), now)
	if len(first.More) != 0 || reached(first) != RankingDepth {
		t.Errorf("first search: %d paths, %d members", 1+len(first.More), reached(first))
	}
	second := s.Decide(dataPacket(), now.Add(repeat))
	if reached(second) != 47 {
		t.Errorf("second search: %d members", reached(second))
	}
}

// Among 70 members a search of all still reaches all, so that callers of lost flows are
// told.
func TestLostFlowAmongManyMembers(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(70, now)
	now = now.Add(settledAfter + time.Millisecond)
	s.Decide(dataPacket(), now)
	v := s.Decide(dataPacket(), now.Add(repeat))
	if reached(v) != 70 || 1+len(v.More) > searchPaths {
		t.Errorf("%d members on %d paths", reached(v), 1+len(v.More))
	}
	lost := false
	for i := range 1 + len(v.More) {
		_, lost = s.Missed(testKey, member(i), v.Path.Search, now.Add(repeat))
	}
	if !lost {
		t.Error("the caller is not told")
	}
}

// Routers choose another balancer for all flows at once. Wide searches for all of them
// would fill the link of a small VM, so that no answer comes through: they are bounded,
// and begin with another member each time.
func TestStormOfSearches(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(47, now)
	now = now.Add(settledAfter + time.Millisecond)
	sent := 0
	firsts := map[netip.AddrPort]bool{}
	const flows, tries = 1000, 3
	for try := range tries {
		for i := range flows {
			p := dataPacket()
			p.Key = NewKey(netip.AddrPortFrom(testCaller.Addr(), uint16(1024+i)), testService)
			v := s.Decide(p, now.Add(time.Duration(try)*repeat))
			sent += 1 + len(v.More)
			if i == flows-1 {
				firsts[v.Path.To] = true
			}
		}
	}
	if most := tries*flows + wideBurst + wideRate; sent > most {
		t.Errorf("%d datagrams for %d packets, want at most %d", sent, tries*flows, most)
	}
	if len(firsts) < 2 {
		t.Error("each search began with the same member")
	}
}

// Upstreams are replaced one after the other: a member joins and one leaves every second.
// Callers of lost flows are told all the same.
func TestVerdictsDuringARelease(t *testing.T) {
	now := time.Unix(100, 0)
	s := testSteering(0, now)
	var all []netip.AddrPort
	for i := range 6 {
		all = append(all, member(i))
	}
	s.Registered(all)
	told := 0
	for second := range 10 {
		for i := second; i < 6+second; i++ {
			report(s, i, testName, uint32(now.Unix()), now)
		}
		s.PeerMembers(testPeer, 6, now)
		later := now.Add(registeredAfter + time.Millisecond)
		p := dataPacket()
		p.Key = NewKey(netip.AddrPortFrom(testCaller.Addr(), uint16(2000+second)), testService)
		v := s.Decide(p, later)
		s.Expire(later)
		lost := false
		for i := range 1 + len(v.More) {
			_, lost = s.Missed(p.Key, member(i), v.Path.Search, later)
		}
		if lost {
			told++
		}
		now = now.Add(time.Second)
	}
	if told != 10 {
		t.Errorf("%d of 10 callers are told", told)
	}
}
