package schedule

import "time"

// none is the index of no request.
const none = -1

// tree holds late requests by the latest time at which they have to start. It answers in logarithmic
// time whether all of them can start in time if they are served in this order. It is a treap whose
// nodes are indexed like the queue's requests.
type tree struct {
	nodes []node
	root  int32
	// slots is the number of slots that serve the requests.
	slots time.Duration
	seed  uint32
}

// node is a request in a tree, with sums over the requests below it.
type node struct {
	left, right int32
	// heap is random. A node's heap is at least those of its children, which keeps the tree balanced.
	heap        uint32
	level       uint8
	start, cost time.Duration
	// work is the sum of the costs.
	work time.Duration
	// slack is the least of start*slots less the costs of the requests before, in slot time.
	slack time.Duration
	// firstVictim is the request that is given up first: that of the lowest priority, then the highest
	// cost.
	firstVictim int32
}

// random returns the next value of a xorshift generator.
func (t *tree) random() uint32 {
	t.seed ^= t.seed << 13
	t.seed ^= t.seed >> 17
	t.seed ^= t.seed << 5
	return t.seed
}

// insert adds request i.
func (t *tree) insert(i int32, level uint8, start, cost time.Duration) {
	for len(t.nodes) <= int(i) {
		t.nodes = append(t.nodes, node{})
	}
	t.nodes[i] = node{left: none, right: none, heap: t.random(), level: level, start: start, cost: cost}
	t.update(i)
	left, right := t.split(t.root, i)
	t.root = t.merge(t.merge(left, i), right)
}

// remove deletes request i, which must be in the tree.
func (t *tree) remove(i int32) { t.root = t.without(t.root, i) }

func (t *tree) without(root, i int32) int32 {
	n := &t.nodes[root]
	switch {
	case root == i:
		return t.merge(n.left, n.right)
	case t.before(i, root):
		n.left = t.without(n.left, i)
	default:
		n.right = t.without(n.right, i)
	}
	t.update(root)
	return root
}

// before reports whether request a is served before request b.
func (t *tree) before(a, b int32) bool {
	if x, y := t.nodes[a].start, t.nodes[b].start; x != y {
		return x < y
	}
	return a < b
}

// split divides a subtree into the requests before i and those after it.
func (t *tree) split(root, i int32) (left, right int32) {
	if root == none {
		return none, none
	}
	n := &t.nodes[root]
	if t.before(root, i) {
		n.right, right = t.split(n.right, i)
		left = root
	} else {
		left, n.left = t.split(n.left, i)
		right = root
	}
	t.update(root)
	return left, right
}

// merge joins two subtrees, all requests of the first being before those of the second.
func (t *tree) merge(a, b int32) int32 {
	switch {
	case a == none:
		return b
	case b == none:
		return a
	case t.nodes[a].heap > t.nodes[b].heap:
		t.nodes[a].right = t.merge(t.nodes[a].right, b)
		t.update(a)
		return a
	}
	t.nodes[b].left = t.merge(a, t.nodes[b].left)
	t.update(b)
	return b
}

// update recomputes the sums of a node from those of its children.
func (t *tree) update(i int32) {
	n := &t.nodes[i]
	n.work, n.firstVictim = 0, i
	n.slack = n.start * t.slots
	if n.left != none {
		l := &t.nodes[n.left]
		n.work = l.work
		n.slack = min(l.slack, n.slack-l.work)
		n.firstVictim = t.earlierVictim(n.firstVictim, l.firstVictim)
	}
	n.work += n.cost
	if n.right != none {
		r := &t.nodes[n.right]
		n.slack = min(n.slack, r.slack-n.work)
		n.work += r.work
		n.firstVictim = t.earlierVictim(n.firstVictim, r.firstVictim)
	}
}

// earlierVictim returns which of two requests is given up first. If neither costs more, it is the one that
// would be served first, since giving it up gives time to all others.
func (t *tree) earlierVictim(a, b int32) int32 {
	if a == none {
		return b
	}
	x, y := &t.nodes[a], &t.nodes[b]
	switch {
	case x.level != y.level:
		if x.level > y.level {
			return a
		}
	case x.cost != y.cost:
		if x.cost > y.cost {
			return a
		}
	case t.before(a, b):
		return a
	}
	return b
}

// setSlots changes the number of slots. It visits all requests if that is another number.
func (t *tree) setSlots(slots time.Duration) {
	if t.slots != slots {
		t.slots = slots
		t.updateAll(t.root)
	}
}

func (t *tree) updateAll(i int32) {
	if i == none {
		return
	}
	t.updateAll(t.nodes[i].left)
	t.updateAll(t.nodes[i].right)
	t.update(i)
}

// first returns the request that has to start first, or none.
func (t *tree) first() int32 {
	i := t.root
	for i != none && t.nodes[i].left != none {
		i = t.nodes[i].left
	}
	return i
}

// work returns the sum of the costs.
func (t *tree) work() time.Duration {
	if t.root == none {
		return 0
	}
	return t.nodes[t.root].work
}

// slack returns for how much slot time all slots can do other work from now, such that all requests
// still start in time. It is negative if they can't. The tree must not be empty.
func (t *tree) slack(now time.Duration) time.Duration {
	return t.nodes[t.root].slack - now*t.slots
}

// victim returns the request to be given up so that the first of the requests that can't start in
// time can; none if all can. Among the requests up to that one, it is of the lowest priority and,
// among these, of the highest cost, as in the algorithm of Moore and Hodgson, which gives up the
// fewest requests.
func (t *tree) victim(now time.Duration) int32 {
	if t.root == none || t.nodes[t.root].slack >= now*t.slots {
		return none
	}
	limit := now * t.slots
	best := int32(none)
	var ahead time.Duration
	i := t.root
	for i != none {
		n := &t.nodes[i]
		if n.left != none {
			l := &t.nodes[n.left]
			if l.slack-ahead < limit {
				i = n.left
				continue
			}
			ahead += l.work
			best = t.earlierVictim(best, l.firstVictim)
		}
		best = t.earlierVictim(best, i)
		if n.start*t.slots-ahead < limit {
			return best
		}
		ahead += n.cost
		i = n.right
	}
	return best
}
