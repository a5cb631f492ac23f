package work

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// keyMachine simulates the sidecars of one service. They claim keys, run requests and record others
// as not run, while sidecars join, and leave after a handover of their key records.
type keyMachine struct {
	now          time.Time
	ledgers      map[string]*Ledger
	incarnations map[string]uint64 // by sidecar
	lastID       int               // number of the last sidecar or request
	runs         map[string]int    // number of runs by key
	notRun       map[string]bool
	ids          map[string]string // key by request
}

func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &keyMachine{now: time.Unix(0, 0), ledgers: map[string]*Ledger{}, incarnations: map[string]uint64{}, runs: map[string]int{}, notRun: map[string]bool{}, ids: map[string]string{}}
		m.join(t)
		m.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"join":    m.join,
			"leave":   m.leave,
			"attempt": m.attempt,
			"":        m.check,
		})
	})
}

func (m *keyMachine) join(*rapid.T) {
	m.lastID++
	name := fmt.Sprintf("sidecar-%d", m.lastID)
	m.ledgers[name] = NewLedger()
	m.incarnations[name] = uint64(m.lastID)
}

func (m *keyMachine) members() []KeyOwner {
	var list []KeyOwner
	for name := range m.ledgers {
		list = append(list, KeyOwner{Identity: name, Incarnation: m.incarnations[name]})
	}
	return list
}

func (m *keyMachine) pick(t *rapid.T, label string) string {
	var names []string
	for i := 1; i <= m.lastID; i++ {
		if name := fmt.Sprintf("sidecar-%d", i); m.ledgers[name] != nil {
			names = append(names, name)
		}
	}
	return rapid.SampledFrom(names).Draw(t, label)
}

// leave hands all records of a sidecar over to the current owners of their keys.
func (m *keyMachine) leave(t *rapid.T) {
	if len(m.ledgers) < 2 {
		return
	}
	name := m.pick(t, "leaver")
	l := m.ledgers[name]
	delete(m.ledgers, name)
	for _, k := range l.Export() {
		owners := KeyOwners(k.Key, m.members())
		owner := owners[len(owners)-1].Identity
		if err := m.ledgers[owner].Import(m.now, k, owner); err != nil {
			t.Fatal(err)
		}
	}
}

// attempt sends a request to one sidecar, which claims its key at the owners and then runs it on
// any sidecar if all claims were granted.
func (m *keyMachine) attempt(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	m.lastID++
	id := fmt.Sprintf("request-%d", m.lastID)
	holder := m.pick(t, "holder")
	claim := KeyClaim{RequestID: id, Holder: holder}
	_, granted := m.ledgers[holder].Claim(m.now, key, claim, "")
	for _, o := range KeyOwners(key, m.members()) {
		_, ok := m.ledgers[o.Identity].Claim(m.now, key, claim, "")
		granted = granted && ok
	}
	if !granted {
		return
	}
	runner := m.pick(t, "runner")
	if rapid.Bool().Draw(t, "mark") {
		m.ledgers[runner].MarkNotRun(m.now, id)
	}
	if err := m.ledgers[runner].Begin(m.now, key, id); err != nil {
		return
	}
	m.runs[key]++
	m.ledgers[runner].End(m.now, id, StateAnswered, &Response{Body: []byte(id)})
	if runner != holder {
		if err := m.ledgers[holder].Import(m.now, KeyRecord{Key: key, RequestID: id, State: StateAnswered}, holder); err != nil {
			t.Fatal(err)
		}
	}
}

func (m *keyMachine) check(t *rapid.T) {
	for key, n := range m.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times, want at most once", key, n)
		}
	}
}

func TestMarkedRequestNeverRuns(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLedger()
	if got := l.MarkNotRun(now, "id"); got != StateNotRun {
		t.Fatalf("got %s, want not-run", got)
	}
	if err := l.Begin(now, "key", "id"); err == nil {
		t.Fatal("a marked request began, want an error")
	}
	if err := l.Begin(now, "key", "other"); err != nil {
		t.Fatal(err)
	}
	if got := l.MarkNotRun(now, "other"); got != StateRunning {
		t.Fatalf("got %s, want running", got)
	}
}

func TestKeyOwnersAreFew(t *testing.T) {
	var members []KeyOwner
	for i := range 100 {
		members = append(members, KeyOwner{Identity: fmt.Sprint(i), Incarnation: uint64(i)})
	}
	total := 0
	for i := range 1000 {
		total += len(KeyOwners(fmt.Sprint(i), members))
	}
	// The expected number is the 100th harmonic number, 5.19.
	if mean := float64(total) / 1000; mean > 6 {
		t.Errorf("got %.2f owners per key on average, want at most 6", mean)
	}
}
