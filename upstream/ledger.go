package upstream

import (
	"context"
	"net/http"
	"time"

	"greengagedyke/work"
)

// Claim gives a key to a request unless another may have run under it. The state
// is that of the request which holds the key.
func (c *Client) Claim(key string, h work.KeyClaim, over string) (work.KeyClaim, work.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, fresh := c.ledger.Claim(time.Now(), key, h, over)
	state, _ := c.ledger.Lookup(held.RequestID)
	return held, state, fresh
}

// Unclaim gives a key free after its request was not run.
func (c *Client) Unclaim(key, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Unclaim(key, id)
}

// Export returns what is known of all keys whose requests have ended.
func (c *Client) Export() []work.KeyRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Export()
}

// Import takes over what another sidecar knew of a key.
func (c *Client) Import(k work.KeyRecord, holder string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Import(time.Now(), k, holder)
}

// Fetch waits until a request has ended and returns what became of it. With mark
// set, a request that has not begun never will.
func (c *Client) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response) {
	done := c.watch(id, mark)
	if done == nil {
		return work.StateNone, nil
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Lookup(id)
}

func (c *Client) watch(id string, mark bool) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mark {
		c.ledger.MarkNotRun(time.Now(), id)
	}
	return c.ledger.Done(id)
}

// Healthy reports whether the upstream may be given work.
func (c *Client) Healthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.Healthy(time.Now())
}

const healthInterval = 500 * time.Millisecond

// RunHealth asks the upstream's health endpoint until ctx ends, and then closes done.
func (c *Client) RunHealth(ctx context.Context, path string, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		c.checkHealth(ctx, path)
		c.expire()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(time.Now())
}

func (c *Client) checkHealth(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr.String()+path, http.NoBody)
	if err != nil {
		return
	}
	response, err := c.reuse.RoundTrip(request)
	ok := err == nil && response.StatusCode < http.StatusInternalServerError
	if err == nil {
		response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.RecordCheck(time.Now(), ok)
}
