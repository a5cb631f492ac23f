package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is what a queue has to hold.
type model struct {
	waiting map[int]Request[int, int]
	// done has the requests that were served, dropped or removed.
	done map[int]bool
}

// finish records that a request has left the queue.
func (m *model) finish(t *rapid.T, req Request[int, int]) {
	if want, ok := m.waiting[req.Key]; !ok || want != req || m.done[req.Key] {
		t.Fatalf("got %+v, which isn't queued; want %+v", req, want)
	}
	m.done[req.Key] = true
	delete(m.waiting, req.Key)
}

// possible reports whether a request can be answered before its deadline.
func possible(req Request[int, int], now time.Time) bool {
	timeout := timeoutOf(req.Timeout)
	return !now.Add(min(req.Cost, timeout/2)).After(req.Arrived.Add(timeout))
}

// checkWork compares the queue's sums with those of the model.
func (m *model) checkWork(t *rapid.T, q *Queue[int, int]) {
	var want [Levels]time.Duration
	var sum time.Duration
	for _, req := range m.waiting {
		cost := min(req.Cost, timeoutOf(req.Timeout)/2)
		want[levelOf(req.Priority)] += cost
		sum += cost
	}
	if q.WorkByLevel() != want || q.Work() != sum || q.Len() != len(m.waiting) {
		t.Fatalf("got work %v of %d requests, want %v of %d", q.WorkByLevel(), q.Len(), want, len(m.waiting))
	}
	for l := range q.late {
		if len(q.late[l].nodes) > 0 {
			checkTree(t, &q.late[l], time.Second)
		}
	}
}

// checkTree compares a tree's slack with that of a list.
func checkTree(t *rapid.T, tr *tree, now time.Duration) {
	var order []int32
	var walk func(i int32)
	walk = func(i int32) {
		if i != none {
			walk(tr.nodes[i].left)
			order = append(order, i)
			walk(tr.nodes[i].right)
		}
	}
	walk(tr.root)
	if len(order) == 0 {
		return
	}
	if !slices.IsSortedFunc(order, func(a, b int32) int { return int(tr.nodes[a].start - tr.nodes[b].start) }) {
		t.Fatal("the tree isn't sorted")
	}
	want, ahead := time.Duration(1<<62), time.Duration(0)
	for _, i := range order {
		want = min(want, (tr.nodes[i].start-now)*tr.slots-ahead)
		ahead += tr.nodes[i].cost
	}
	if got := tr.slack(now); got != want || tr.work() != ahead {
		t.Fatalf("got slack %v and work %v, want %v and %v", got, tr.work(), want, ahead)
	}
}

// Each request leaves the queue once: it is served when it can still be answered, dropped when it
// can't, or removed. None is left over when the queue says that it is empty.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var q Queue[int, int]
		m := model{waiting: map[int]Request[int, int]{}, done: map[int]bool{}}
		ms := func(low, high int, name string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		dropped := func(req Request[int, int]) {
			if possible(req, now) {
				t.Fatalf("dropped %+v, which can be answered", req)
			}
			m.finish(t, req)
		}
		for key := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(ms(0, 100, "step"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				req := Request[int, int]{
					Key: key, Priority: uint8(rapid.IntRange(0, 5).Draw(t, "priority")), Arrived: now.Add(-ms(0, 300, "waited")),
					LatencyTarget: ms(0, 300, "target"), Timeout: ms(0, 1000, "timeout"), Cost: ms(0, 200, "cost"), Payload: key,
				}
				if !q.Push(req, now) || q.Push(req, now) || *q.Payload(key) != key {
					t.Fatal("the request must be queued once")
				}
				m.waiting[key] = req
			case 3:
				k := rapid.IntRange(0, 120).Draw(t, "key")
				if _, ok := m.waiting[k]; q.Remove(k) != ok {
					t.Fatalf("removed: got %v, want %v", !ok, ok)
				}
				delete(m.waiting, k)
			default:
				req, ok := q.Pop(now, rapid.IntRange(0, 4).Draw(t, "slots"), dropped)
				if !ok && len(m.waiting) > 0 {
					t.Fatalf("got no request of %d", len(m.waiting))
				}
				if ok && !possible(req, now) {
					t.Fatalf("got %+v, which can't be answered any more", req)
				}
				if ok {
					m.finish(t, req)
				}
			}
			m.checkWork(t, &q)
		}
	})
}

// A late request whose deadline is near goes before requests of the same priority that can be in
// time, and before those of a higher one if they still are in time after it.
func TestQueueLateRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		waited    time.Duration
		priority  uint8
		newWaited time.Duration
		want      string
	}{
		{2 * time.Second, 1, 0, "new"},
		{3930 * time.Millisecond, 1, 0, "late"},
		{3930 * time.Millisecond, 1, 250 * time.Millisecond, "late"},
		{3930 * time.Millisecond, 0, 0, "late"},
		{3930 * time.Millisecond, 0, 250 * time.Millisecond, "new"},
		{3970 * time.Millisecond, 1, 0, "new"}, // can't be answered any more
	} {
		var q Queue[string, struct{}]
		push := func(key string, priority uint8, waited time.Duration) {
			q.Push(Request[string, struct{}]{
				Key: key, Priority: priority, Arrived: now.Add(-waited), LatencyTarget: 300 * time.Millisecond, Timeout: deadline, Cost: meanCost,
			}, now)
		}
		push("late", 1, tc.waited)
		push("new", tc.priority, tc.newWaited)
		if got, _ := q.Pop(now, 2, nil); got.Key != tc.want {
			t.Errorf("%+v: got %q first, want %q", tc, got.Key, tc.want)
		}
	}
}

// A commitment counts until its request arrives, or for CommitmentTimeout.
func TestCommitments(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Commitments[int]
	for k := range 4 {
		c.Add(k, uint8(k%2), time.Duration(k+1)*time.Millisecond, now.Add(time.Duration(k)*time.Second))
	}
	c.Add(3, 1, 4*time.Millisecond, now.Add(3*time.Second)) // the opening packet is repeated
	c.Remove(2)
	if c.Len() != 2 || c.Work() != 6*time.Millisecond || c.Ahead(0) != 0 {
		t.Errorf("got %d with %v, want 2 with 6ms", c.Len(), c.Work())
	}
	c.Expire(now.Add(6 * time.Second))
	if c.Len() != 0 || c.Work() != 0 {
		t.Errorf("got %d with %v after the timeout, want none", c.Len(), c.Work())
	}
}

// The cost of a request must not grow with the number that wait: late ones, those in time, and both.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		for _, late := range []int{0, 50, 100} {
			b.Run(fmt.Sprintf("waiting=%d/late=%d%%", n, late), func(b *testing.B) {
				now := time.Unix(1000, 0)
				var q Queue[int, struct{}]
				push := func(i int) {
					waited := time.Duration(i%100) * time.Millisecond
					if i%100 < late {
						waited += time.Second
					}
					q.Push(Request[int, struct{}]{
						Key: i, Priority: uint8(i % 3), Arrived: now.Add(-waited), LatencyTarget: 300 * time.Millisecond, Timeout: time.Minute, Cost: time.Millisecond,
					}, now)
				}
				for i := range n {
					push(i * 7)
				}
				b.ReportAllocs()
				i := n
				for b.Loop() {
					push(i * 7)
					i++
					now = now.Add(10 * time.Microsecond)
					if _, ok := q.Pop(now, 2, nil); !ok || q.Len() != n {
						b.Fatal("a request is missing")
					}
				}
			})
		}
	}
}
