package upstream

import (
	"context"
	"net/http"
	"time"

	"greengagedyke/work"
)

// Claim claims a key for a request unless another request has claimed it; see work.Ledger.Claim. It
// returns the claim in force, the state of its request and whether it is the wanted claim.
func (c *Client) Claim(key string, wanted work.KeyClaim, replaces string) (work.KeyClaim, work.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inForce, granted := c.ledger.Claim(time.Now(), key, wanted, replaces)
	state, _ := c.ledger.Lookup(inForce.RequestID)
	return inForce, state, granted
}

// Unclaim removes the claim of a request that was not run, if that request holds the key.
func (c *Client) Unclaim(key, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Unclaim(key, id)
}

// Export returns the records of all claimed keys except those whose requests are running.
func (c *Client) Export() []work.KeyRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Export()
}

// Import adds the key record of another sidecar; see work.Ledger.Import.
func (c *Client) Import(r work.KeyRecord, holder string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Import(time.Now(), r, holder)
}

// Fetch waits until a request has ended or ctx ends, and returns the state of the request and its
// recorded response. The state is work.StateNone if there is no record. With mark set, a request that
// has not begun is first recorded as not run, so that it never runs.
func (c *Client) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response) {
	done := c.ended(id, mark)
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

// ended returns a channel that is closed when the request has ended, nil if it has no record. With
// mark set, a request that has not begun is first recorded as not run.
func (c *Client) ended(id string, mark bool) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mark {
		c.ledger.MarkNotRun(time.Now(), id)
	}
	return c.ledger.Done(id)
}

// Healthy reports whether the upstream may be sent requests.
func (c *Client) Healthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.Healthy(time.Now())
}

// healthInterval is the interval and the timeout of health checks.
const healthInterval = 500 * time.Millisecond

// RunHealth checks the upstream's health with GET requests to path, and expires ledger records,
// until ctx ends. It then closes done.
func (c *Client) RunHealth(ctx context.Context, path string, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		c.checkHealth(ctx, path)
		c.expireRecords()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Client) expireRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(time.Now())
}

// checkHealth sends a GET request to path and records a response with a status below 500 as healthy.
func (c *Client) checkHealth(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr.String()+path, http.NoBody)
	if err != nil {
		return
	}
	response, err := c.pooled.RoundTrip(request)
	ok := err == nil && response.StatusCode < http.StatusInternalServerError
	if err == nil {
		response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.RecordCheck(time.Now(), ok)
}
