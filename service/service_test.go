package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// candidate returns a candidate of weight 1 with an address derived from i.
func candidate(i int) Candidate {
	return Candidate{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), Weight: 1}
}

func drawCandidates(t *rapid.T) Candidates {
	var list Candidates
	for i := range rapid.IntRange(1, 20).Draw(t, "candidates") {
		list = append(list, candidate(i))
	}
	return list
}

// The datagrams of a first flight may arrive at different balancers. They must reach the same
// upstream even if the balancers have the candidates in different orders.
func TestTablesAgreeOnFirstFlights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawCandidates(t)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		id := rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "connection ID")
		a, _ := NewTable(list).Lookup(id)
		b, _ := NewTable(shuffled).Lookup(id)
		if a.Addr != b.Addr {
			t.Fatalf("connection ID %x goes to %s, and with candidates in another order to %s", id, a.Addr, b.Addr)
		}
	})
}

// Removing an upstream moves only the connection IDs that were assigned to it.
func TestTableKeepsOtherAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := append(drawCandidates(t), candidate(500))
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		before := NewTable(list)
		remaining := append(append(Candidates{}, list[:gone]...), list[gone+1:]...)
		after := NewTable(remaining)
		for i := range 200 {
			id := []byte(fmt.Sprintf("connection-%d", i))
			a, _ := before.Lookup(id)
			b, _ := after.Lookup(id)
			if a.Addr != b.Addr && a.Addr != list[gone].Addr {
				t.Fatalf("connection ID %q moved from %s to %s", id, a.Addr, b.Addr)
			}
		}
	})
}

func TestTableFollowsWeights(t *testing.T) {
	list := Candidates{candidate(1), candidate(2)}
	list[0].Weight = 0.25
	table := NewTable(list)
	n := 0
	for i := range 10_000 {
		if c, _ := table.Lookup([]byte(fmt.Sprint(i))); c.Addr == list[0].Addr {
			n++
		}
	}
	if n < 1700 || n > 2300 {
		t.Errorf("%d of 10,000 went to an upstream with a fifth of the total weight, want 1,700 to 2,300", n)
	}
	if _, ok := NewTable(nil).Lookup([]byte("id")); ok {
		t.Error("a table without candidates returned one")
	}
}

func TestValidate(t *testing.T) {
	const good = `{"name":"rota-core","address":"10.0.0.1:443","routes":[{"class":"idempotent","path-prefix":"/"}]}`
	tests := []struct{ name, old, new, field string }{
		{"name", "rota-core", "Rota", "name"},
		{"address", "10.0.0.1:443", "10.0.0.1:0", "address"},
		{"class", `"idempotent"`, `"sometimes"`, "routes[ /].class"},
		{"path", `"path-prefix":"/"`, `"path-prefix":"x"`, "routes[ x].path-prefix"},
		{"priority", `"class"`, `"priority":10,"class"`, "routes[ /].priority"},
		{"deadline", `"class"`, `"deadline":"11m","class"`, "routes[ /].deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Service
			if err := json.Unmarshal([]byte(strings.Replace(good, tt.old, tt.new, 1)), &s); err != nil {
				t.Fatal(err)
			}
			s.Defaults()
			var field *FieldError
			if err := s.Validate(); !errors.As(err, &field) || field.Field != tt.field {
				t.Errorf("got %v, want an error of field %s", err, tt.field)
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{7, 100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var list Candidates
			for i := range n {
				list = append(list, candidate(i))
			}
			for b.Loop() {
				NewTable(list)
			}
		})
	}
}
