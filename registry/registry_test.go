package registry_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/platform"
	"greengagedyke/registry"
	"greengagedyke/standin/store"
)

var (
	self  = netip.MustParseAddrPort("10.0.0.1:7720")
	other = netip.MustParseAddrPort("10.0.0.2:7720")
)

// An address stands in the store, and comes back after the store was away and its
// leases have lapsed.
func TestKeep(t *testing.T) {
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := platform.New(addr, metrics.NewRegistry())
	t.Cleanup(closeClient)
	found := make(chan []netip.AddrPort, 100)
	reg := registry.New(slog.New(slog.NewTextHandler(io.Discard, nil)), client, func(a []netip.AddrPort) { found <- a })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reg.Keep(ctx, self)
	}()
	t.Cleanup(func() { cancel(); <-done })
	await(t, reg, found)
	s.SetFaults(store.Faults{Down: true})
	s.EndLeases()
	s.SetFaults(store.Faults{})
	await(t, reg, found)
}

// await reads until the own address stands in the store.
func await(t *testing.T, reg *registry.Registry, found <-chan []netip.AddrPort) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		reg.Read(t.Context())
		if slices.Contains(<-found, self) {
			return
		}
	}
	t.Fatal("the address is not in the store")
}

// A balancer stays known as long as somebody mentions it.
func TestKnown(t *testing.T) {
	now := time.Unix(100, 0)
	k := registry.NewKnown(self)
	if fresh := k.Mention(now, self, other, other); !slices.Equal(fresh, []netip.AddrPort{other}) {
		t.Errorf("new: %v", fresh)
	}
	now = now.Add(15 * time.Second)
	if fresh := k.Mention(now, other); fresh != nil {
		t.Errorf("new again: %v", fresh)
	}
	if lost := k.Expire(now.Add(15 * time.Second)); lost != nil || len(k.List()) != 1 {
		t.Errorf("forgotten too soon: %v", lost)
	}
	if lost := k.Expire(now.Add(25 * time.Second)); !slices.Equal(lost, []netip.AddrPort{other}) || len(k.List()) != 0 {
		t.Errorf("forgotten: %v, known: %v", lost, k.List())
	}
}
