package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
)

// Watcher reads one key of the store and watches it for changes. It may also pass on all other values
// under a prefix that the same calls return. It is not safe for concurrent use.
type Watcher struct {
	client *platform.Client
	target platform.WatchTarget
	// position is the position after which Next watches, if watching is set; else Next reads.
	position platform.Position
	watching bool
}

// NewWatcher returns a Watcher that uses client c.
func NewWatcher(c *platform.Client, target platform.WatchTarget) *Watcher {
	return &Watcher{client: c, target: target}
}

// Position returns the position after which Next watched last.
func (w *Watcher) Position() platform.Position { return w.position }

// Read returns the current value of the key, or platform.ErrNotFound if there is none. The next call of Next
// waits for a later one.
func (w *Watcher) Read(ctx context.Context) (platform.Value, error) {
	list, position, err := w.client.List(ctx, w.target.Prefix)
	if err != nil {
		return platform.Value{}, err
	}
	w.position, w.watching = position, true
	w.target.Observe(list, position, true)
	return w.latest(list)
}

// ReadStale is like Read, but the value may be some seconds old. The platform charges a tenth of the
// price of Read. ReadStale does not affect Next.
func (w *Watcher) ReadStale(ctx context.Context) (platform.Value, error) {
	list, err := w.client.ListStale(ctx, w.target.Key)
	if err != nil {
		return platform.Value{}, err
	}
	return w.latest(list)
}

// Next waits for a newer value than the last one that Read or Next returned. It returns platform.ErrUnchanged
// if there is none in time. If the watch fails or ends early without a change, it may have missed one,
// so the value is read again: by this call, or after an error by the next.
func (w *Watcher) Next(ctx context.Context, wait time.Duration) (platform.Value, error) {
	if !w.watching {
		return w.Read(ctx)
	}
	start := time.Now()
	list, position, err := w.client.Watch(ctx, w.target.Prefix, w.position, wait)
	switch {
	case errors.Is(err, platform.ErrCompacted), errors.Is(err, platform.ErrUnchanged) && time.Since(start) < wait-platform.WatchSlack:
		w.watching = false
		return w.Read(ctx)
	case errors.Is(err, platform.ErrUnchanged):
		return platform.Value{}, err
	case err != nil:
		w.watching = ctx.Err() != nil
		return platform.Value{}, err
	}
	w.position = position
	w.target.Observe(list, position, false)
	v, err := w.latest(list)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Value{}, platform.ErrUnchanged
	}
	return v, err
}

// latest returns the latest value of the key in a list of values or changes; platform.ErrNotFound if there is
// none.
func (w *Watcher) latest(list []platform.Value) (platform.Value, error) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Key == w.target.Key && !list[i].Deleted {
			return list[i], nil
		}
	}
	return platform.Value{}, platform.ErrNotFound
}
