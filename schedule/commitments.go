package schedule

import "time"

// CommitmentTimeout is how long an admitted request counts as work while it has not arrived.
const CommitmentTimeout = 2 * time.Second

// Commitments are the requests that were admitted at their opening packets and have not arrived yet.
// The zero value is ready for use. It is not safe for concurrent use.
type Commitments[K comparable] struct {
	byKey map[K]commitment
	// order has the keys by time. Entries before head are outdated, and so are those whose key has no
	// commitment of the same time.
	order []commitmentTime[K]
	head  int
	work  [Levels]time.Duration
}

// commitment is an admitted request.
type commitment struct {
	level uint8
	cost  time.Duration
	at    time.Time
}

// commitmentTime is when a request was admitted.
type commitmentTime[K comparable] struct {
	key K
	at  time.Time
}

// Len returns the number of commitments.
func (c *Commitments[K]) Len() int { return len(c.byKey) }

// WorkByLevel returns the sums of the expected costs of each priority.
func (c *Commitments[K]) WorkByLevel() [Levels]time.Duration { return c.work }

// Ahead returns the work of the commitments of a priority and the higher ones.
func (c *Commitments[K]) Ahead(priority uint8) time.Duration {
	var sum time.Duration
	for _, w := range c.work[:levelOf(priority)+1] {
		sum += w
	}
	return sum
}

// Work returns the sum of the expected costs.
func (c *Commitments[K]) Work() time.Duration { return c.Ahead(Levels - 1) }

// Add records an admitted request. Calls must be ordered by now.
func (c *Commitments[K]) Add(k K, priority uint8, cost time.Duration, now time.Time) {
	c.Remove(k)
	c.Expire(now)
	if c.byKey == nil {
		c.byKey = map[K]commitment{}
	}
	level := levelOf(priority)
	c.byKey[k] = commitment{level: level, cost: cost, at: now}
	c.order = append(c.order, commitmentTime[K]{key: k, at: now})
	c.work[level] += cost
}

// Remove deletes the commitment of a request that has arrived, or whose caller has left.
func (c *Commitments[K]) Remove(k K) {
	if cm, ok := c.byKey[k]; ok {
		c.work[cm.level] -= cm.cost
		delete(c.byKey, k)
	}
}

// Expire deletes the commitments that are older than CommitmentTimeout.
func (c *Commitments[K]) Expire(now time.Time) {
	for c.head < len(c.order) && now.Sub(c.order[c.head].at) > CommitmentTimeout {
		old := c.order[c.head]
		c.head++
		if cm, ok := c.byKey[old.key]; ok && cm.at.Equal(old.at) {
			c.Remove(old.key)
		}
	}
	if c.head > len(c.order)/2 {
		c.order = c.order[:copy(c.order, c.order[c.head:])]
		c.head = 0
	}
}
