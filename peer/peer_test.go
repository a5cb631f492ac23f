package peer_test

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/outlier"
	"greengagedyke/peer"
)

var (
	addr1 = netip.MustParseAddrPort("10.0.0.1:7720")
	addr2 = netip.MustParseAddrPort("10.0.0.2:8172")
	key   = flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
)

// body returns the body of a datagram, which must be of kind want.
func body(t testing.TB, b []byte, want peer.Kind) []byte {
	t.Helper()
	kind, rest, err := peer.KindOf(b)
	if err != nil || kind != want {
		t.Fatalf("got kind %v, %v, want kind %v", kind, err, want)
	}
	return rest
}

func TestPacket(t *testing.T) {
	path := flow.Path{
		Tag: 7, WarmupRate: 12, Confirm: true, FallbackCount: 2, Fallbacks: [flow.RankingDepth]netip.AddrPort{addr1, addr2},
		FallbackTimes: [flow.RankingDepth]time.Duration{40 * time.Millisecond},
		Policy:        flow.RequestPolicy{Priority: 2, LatencyTarget: 120 * time.Millisecond, Timeout: time.Second},
	}
	b := append(peer.AppendPacket(nil, &path, 1, addr1, true), "packet"...)
	var got flow.TunnelPacket
	raw, err := peer.ParsePacket(body(t, b, peer.KindPacket), &got)
	if err != nil || string(raw) != "packet" {
		t.Fatalf("got %q, %v, want %q", raw, err, "packet")
	}
	want := flow.TunnelPacket{Path: path, Hop: 1, Origin: addr1, Offered: true}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestLoad(t *testing.T) {
	want := flow.Load{
		Incarnation: 1 << 60, Sequence: 9, Tag: 7, DomainID: 5, State: flow.StateLeaving, UpstreamEnded: true,
		Slots: 2, Busy: 3, Flows: 400, WarmupLeft: 1500 * time.Millisecond,
		WarmupRoom: 11, Work: 70 * time.Second, ServiceTime: 35 * time.Millisecond, Interval: 250 * time.Millisecond,
		Evidence:  outlier.Evidence{Known: true, FailureShare: 0.5, AnswerTime: 290 * time.Millisecond},
		OpenFlows: 300, RouteCosts: [flow.RouteCostCount]flow.RouteCost{{Route: 7, Cost: 4200 * time.Microsecond}},
	}
	got, err := peer.ParseLoad(body(t, peer.AppendLoad(nil, &want), peer.KindLoad))
	if err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestFlowHeldAndNotDelivered(t *testing.T) {
	if k, err := peer.ParseFlowHeld(body(t, peer.AppendFlowHeld(nil, key), peer.KindFlowHeld)); err != nil || k != key {
		t.Errorf("held: got %v, %v, want %v", k, err, key)
	}
	for _, want := range []bool{false, true} {
		for _, keys := range [][]flow.Key{{key}, {key, flow.NewKey(addr1, addr2), key}} {
			b := body(t, peer.AppendNotDelivered(nil, want, keys...), peer.KindNotDelivered)
			got, notHeld, err := peer.ParseNotDelivered(b)
			if err != nil || !slices.Equal(got, keys) || notHeld != want {
				t.Errorf("not delivered: got %v, not held %v, %v, want %v, not held %v", got, notHeld, err, keys, want)
			}
			for _, n := range []int{0, 2, len(b) - 1} {
				if _, _, err := peer.ParseNotDelivered(b[:n]); !errors.Is(err, peer.ErrTruncated) {
					t.Errorf("not delivered, truncated to %d bytes: got %v, want ErrTruncated", n, err)
				}
			}
		}
	}
}

func TestBalancers(t *testing.T) {
	want := peer.Balancers{Version: 12, SidecarCount: 10, Infos: []peer.BalancerInfo{{Addr: addr1, StoreReachable: true}, {Addr: addr2, Age: 3 * time.Second}}}
	got, err := peer.ParseBalancers(body(t, peer.AppendBalancers(nil, &want), peer.KindBalancers))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// Gossip carries evacuations once there have been any; without them, it grows by a byte only.
func TestEvacuations(t *testing.T) {
	for _, e := range []flow.Evacuations{{}, flow.NewEvacuations(0, 7, []uint32{}), flow.NewEvacuations(1<<40, 9, []uint32{3, 1<<32 - 1})} {
		want := peer.Balancers{Version: 12, Evacuations: e, Infos: []peer.BalancerInfo{{Addr: addr1}}}
		b := peer.AppendBalancers(nil, &want)
		got, err := peer.ParseBalancers(body(t, b, peer.KindBalancers))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		if size := 2 + 12 + 1 + 7; e.IsZero() && len(b) != size {
			t.Errorf("got %d bytes without evacuations, want %d", len(b), size)
		}
	}
	long := peer.AppendBalancers(nil, &peer.Balancers{Evacuations: flow.NewEvacuations(1, 9, []uint32{3, 4})})
	for n := range len(long) {
		if _, err := peer.ParseBalancers(long[min(2, n):n]); err == nil {
			t.Errorf("%d of %d bytes: got no error", n, len(long))
		}
	}
}

// The age of a balancer that has stopped must not shrink when others relay it, so ages are rounded
// up.
func TestBalancerAgesAreRoundedUp(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: 0, time.Millisecond: 500 * time.Millisecond, 900 * time.Millisecond: time.Second, time.Hour: 63500 * time.Millisecond,
	} {
		l := peer.Balancers{Infos: []peer.BalancerInfo{{Addr: addr1, Age: age}}}
		got, err := peer.ParseBalancers(body(t, peer.AppendBalancers(nil, &l), peer.KindBalancers))
		if err != nil || got.Infos[0].Age != want {
			t.Errorf("age %v: got %+v, %v, want age %v", age, got, err, want)
		}
	}
}

func TestSidecars(t *testing.T) {
	want := []netip.AddrPort{addr1, addr2}
	got, err := peer.ParseSidecars(body(t, peer.AppendSidecars(nil, want), peer.KindSidecars))
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	if _, err := peer.ParseSidecars(make([]byte, 7)); !errors.Is(err, peer.ErrTruncated) {
		t.Errorf("truncated list: got %v, want ErrTruncated", err)
	}
}

func TestProbes(t *testing.T) {
	want := peer.Probes{RelayTo: []netip.AddrPort{addr2, addr1}, Packets: [][]byte{[]byte("first"), {}, []byte("third")}}
	b := body(t, peer.AppendProbes(nil, &want), peer.KindProbes)
	got, err := peer.ParseProbes(b)
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	for _, n := range []int{0, 5, 14, len(b) - 1} {
		if _, err := peer.ParseProbes(b[:n]); !errors.Is(err, peer.ErrTruncated) {
			t.Errorf("truncated to %d bytes: got %v, want ErrTruncated", n, err)
		}
	}
}

func TestQuery(t *testing.T) {
	for _, want := range []flow.Query{
		{ID: 9, Origin: addr1, Questions: []flow.Question{{Key: key, Ack: 77}, {Key: key, Ack: 1 << 31}}},
		{ID: 1 << 31, Origin: addr1, RelayTo: []netip.AddrPort{addr2, addr1}, Questions: []flow.Question{{Key: key}}},
	} {
		b := body(t, peer.AppendQuery(nil, &want), peer.KindQuery)
		got, err := peer.ParseQuery(b)
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		for _, n := range []int{0, 5, len(b) - 1} {
			if _, err := peer.ParseQuery(b[:n]); !errors.Is(err, peer.ErrTruncated) {
				t.Errorf("query truncated to %d bytes: got %v, want ErrTruncated", n, err)
			}
		}
	}
}

// The largest flow age is rounded up: if it were too small, the balancer could give up a flow that a
// sidecar may still hold.
func TestAnswer(t *testing.T) {
	for age, rounded := range map[time.Duration]time.Duration{
		0: 0, time.Microsecond: time.Millisecond, time.Minute: time.Minute, 60 * 24 * time.Hour: 0,
	} {
		want := flow.Answer{ID: 9, MaxFlowAge: age, Results: []flow.LookupResult{flow.LookupResultHeld, flow.LookupResultNeedsProbe}}
		got, err := peer.ParseAnswer(body(t, peer.AppendAnswer(nil, &want), peer.KindAnswer))
		want.MaxFlowAge = rounded
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	if _, err := peer.ParseAnswer(make([]byte, 5)); !errors.Is(err, peer.ErrTruncated) {
		t.Errorf("truncated answer: got %v, want ErrTruncated", err)
	}
	if _, err := peer.ParseAnswer([]byte{0, 0, 0, 0, 0, 0, 0, 0, 99}); !errors.Is(err, peer.ErrForeign) {
		t.Errorf("unknown result: got %v, want ErrForeign", err)
	}
}

// Parsing arbitrary bytes must not panic.
func FuzzDatagram(f *testing.F) {
	f.Add(peer.AppendPacket(nil, &flow.Path{FallbackCount: 2, Fallbacks: [flow.RankingDepth]netip.AddrPort{addr1, addr2}}, 0, addr1, false))
	f.Add(peer.AppendLoad(nil, &flow.Load{}))
	f.Add(peer.AppendFlowHeld(nil, key))
	f.Add(peer.AppendNotDelivered(nil, true, key, key))
	f.Add(peer.AppendProbes(nil, &peer.Probes{RelayTo: []netip.AddrPort{addr1}, Packets: [][]byte{{1, 2}, {3}}}))
	f.Add(peer.AppendQuery(nil, &flow.Query{RelayTo: []netip.AddrPort{addr1}, Questions: []flow.Question{{Key: key}}}))
	f.Add(peer.AppendAnswer(nil, &flow.Answer{Results: []flow.LookupResult{flow.LookupResultHeld}}))
	f.Add(peer.AppendBalancers(nil, &peer.Balancers{Evacuations: flow.NewEvacuations(1, 9, []uint32{3, 4})}))
	f.Add(peer.AppendBalancers(nil, &peer.Balancers{Infos: []peer.BalancerInfo{{Addr: addr1}}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, rest, err := peer.KindOf(b)
		if err != nil {
			return
		}
		var a flow.TunnelPacket
		_, _ = peer.ParsePacket(rest, &a)
		_, _ = peer.ParseLoad(rest)
		_, _ = peer.ParseFlowHeld(rest)
		_, _, _ = peer.ParseNotDelivered(rest)
		_, _ = peer.ParseProbes(rest)
		_, _ = peer.ParseBalancers(rest)
		_, _ = peer.ParseSidecars(rest)
		_, _ = peer.ParseQuery(rest)
		_, _ = peer.ParseAnswer(rest)
	})
}
