package balancer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/control"
	"greengagedyke/member"
	"greengagedyke/operator"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/standin/store"
	"greengagedyke/timeline"
)

// testBalancers are balancers that watch one store, without the gossip between them.
type testBalancers struct {
	t       *testing.T
	store   *store.Store
	nodes   []*control.Node
	clients []*operator.Client
	// reader reads the configuration in the store.
	reader *operator.ConfigurationStore
}

// newTestBalancers starts n balancers. They end with the test.
func newTestBalancers(t *testing.T, n int) *testBalancers {
	t.Helper()
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	b := &testBalancers{t: t, store: s}
	for i := range n {
		b.start(addr, fmt.Sprint("balancer-", i))
	}
	return b
}

// start starts a balancer.
func (b *testBalancers) start(storeAddr netip.AddrPort, identity string) {
	log := slog.New(slog.DiscardHandler)
	client, closeClient := platform.New(log, storeAddr, metrics.NewRegistry())
	b.reader = operator.NewConfigurationStore(client)
	configurations := operator.NewConfigurationStore(client)
	node := control.NewNode(log, member.Record{Role: member.RoleBalancer, Identity: identity, State: member.StateReady}, timeline.NewRing(identity, timeline.NewClock(time.Now)))
	watcher := &Balancer{log: log, node: node}
	ctx, cancel := context.WithCancel(b.t.Context())
	done := make(chan struct{})
	go func() { watcher.watchStore(ctx, configurations); close(done) }()
	server := httptest.NewServer(operator.New(log, configurations, node, operator.Queries{}, "token"))
	b.t.Cleanup(func() { server.Close(); cancel(); <-done; closeClient() })
	b.nodes = append(b.nodes, node)
	b.clients = append(b.clients, operator.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), "token", http.DefaultTransport))
}

// gossip passes each node's configuration on to one other node, chosen at random.
func (b *testBalancers) gossip(r *rand.Rand) {
	for _, n := range b.nodes {
		b.nodes[r.IntN(len(b.nodes))].Adopt(n.Configuration())
	}
}

// names returns the name of the service that each node and the store have.
func (b *testBalancers) names() []string {
	configurations := []*service.Configuration{}
	for _, n := range b.nodes {
		configurations = append(configurations, n.Configuration())
	}
	if stored, err := b.reader.Read(b.t.Context()); err == nil {
		configurations = append(configurations, stored)
	}
	var list []string
	for _, cfg := range configurations {
		for _, s := range cfg.Services {
			list = append(list, s.Name)
		}
	}
	return list
}

// change is a configuration that an operator applied, with the only service name.
type change struct {
	name string
	// accepted and refused are the outcomes that the operator was told; neither means unknown.
	accepted, refused bool
}

// apply applies a configuration through a balancer.
func (b *testBalancers) apply(balancer int, name string) change {
	_, err := b.clients[balancer].Apply(b.t.Context(), service.Services{{
		Name: name, Address: netip.MustParseAddrPort("10.0.0.1:443"),
		Routes: service.Routes{{PathPrefix: "/", Class: service.ClassIdempotent}},
	}})
	var apiErr *operator.APIError
	refused := errors.As(err, &apiErr) && apiErr.Status != http.StatusGatewayTimeout
	return change{name: name, accepted: err == nil, refused: refused}
}

// Changes, lost and late answers, and restores from older copies come in any order. No process goes
// back to an older revision, no refused change is in force, and in the end all have the last accepted
// change, or a later one whose outcome is unknown.
func TestRestoredStoreTakesChangesBack(t *testing.T) {
	const seeds, steps = 8, 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			b := newTestBalancers(t, 3)
			stop := b.watchRevisions()
			var changes []change
			for i := range steps {
				switch r.IntN(6) {
				case 0, 1, 2:
					changes = append(changes, b.apply(r.IntN(len(b.nodes)), fmt.Sprint("service-", i)))
				case 3:
					b.store.SetFaults(store.Faults{LoseAnswers: r.IntN(2), Late: time.Duration(r.IntN(2)*r.IntN(500)) * time.Millisecond})
				case 4:
					b.store.SetFaults(store.Faults{Down: true})
					b.store.Restore(time.Duration(r.IntN(1000)) * time.Millisecond)
					time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
					b.store.SetFaults(store.Faults{})
				case 5:
					b.gossip(r)
				}
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
			}
			b.store.SetFaults(store.Faults{})
			b.checkFinal(changes)
			stop()
		})
	}
}

// watchRevisions checks that no node's revision decreases, until the returned function is called.
func (b *testBalancers) watchRevisions() func() {
	ctx, cancel := context.WithCancel(b.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		seen := make([]uint64, len(b.nodes))
		for ctx.Err() == nil {
			for i, n := range b.nodes {
				if revision := n.Configuration().Revision; revision < seen[i] {
					b.t.Errorf("balancer %d went back from revision %d to %d", i, seen[i], revision)
				} else {
					seen[i] = revision
				}
			}
			time.Sleep(time.Millisecond)
		}
	})
	return func() { cancel(); wg.Wait() }
}

// checkFinal waits until all nodes have the same configuration, and checks which one it is.
func (b *testBalancers) checkFinal(changes []change) {
	b.t.Helper()
	allowed := map[string]bool{}
	for _, c := range changes {
		if c.accepted {
			clear(allowed)
		}
		allowed[c.name] = !c.refused
	}
	const limit = 9 * time.Second // within which an accepted change is in force everywhere
	r := rand.New(rand.NewPCG(0, 0))
	for end := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		b.gossip(r)
		names := b.names()
		same := len(names) == len(b.nodes)+1
		for _, name := range names {
			same = same && name == names[0] && allowed[name]
		}
		if same {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("got services %v, want the same one of %v", names, allowed)
		}
	}
}

// A balancer that reads the restored store before it learns of a lost configuration from another one
// still writes it to the store.
func TestLostConfigurationFromGossipIsNotWritten(t *testing.T) {
	t.Parallel()
	b := newTestBalancers(t, 1)
	if c := b.apply(0, "first"); !c.accepted {
		t.Fatal("the first change was not accepted")
	}
	b.store.Restore(0)
	if _, err := b.reader.Read(t.Context()); err != nil { // shows the balancer the new era
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the balancer reads the store
	lost := *b.nodes[0].Configuration()
	lost.Revision++
	lost.WriteID = "lost"
	b.nodes[0].Adopt(&lost)
	const limit = 15 * time.Second // a watch of 10 s, and the write
	for end := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		stored, err := b.reader.Read(t.Context())
		if err == nil && stored.WriteID == "lost" && stored.Revision == lost.Revision {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %+v, %v after %v, want the lost configuration", stored, err, limit)
		}
	}
}
