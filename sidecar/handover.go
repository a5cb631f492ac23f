package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/work"
)

const (
	// handoverChunk is the size in bytes after which a handover is split.
	handoverChunk   = 256 << 10
	handoverTimeout = 5 * time.Second
	// recordSize estimates a record without its answer, in bytes.
	recordSize = 128
)

// errNoHeir means that no sibling is left to take over what this sidecar knows.
var errNoHeir = errors.New("sidecar: no sibling takes the handover")

// handOver passes what is known of keys to their next owners, so that repeats of
// requests which this sidecar ran are answered after it has left.
func (d *Dispatcher) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	byHeir := map[string][]work.KeyRecord{}
	for _, k := range d.upstream.Export() {
		if state, answer := d.keyedRequests.look(k.RequestID); state != work.StateNone {
			k.State = state
			k.Response = answer
		}
		if k.State == work.StateNotRun {
			continue
		}
		heir, ok := d.siblings.heir(k.Key)
		if !ok {
			return errNoHeir
		}
		byHeir[heir] = append(byHeir[heir], k)
	}
	for heir, list := range byHeir {
		if err := d.handOverTo(ctx, heir, list); err != nil {
			return err
		}
	}
	return nil
}

func (d *Dispatcher) handOverTo(ctx context.Context, heir string, list []work.KeyRecord) error {
	c := d.siblings.client(heir)
	if c == nil {
		return errNoHeir
	}
	size := 0
	first := 0
	for i, k := range list {
		size += recordSize
		if k.Response != nil {
			size += len(k.Response.Body)
		}
		if size < handoverChunk && i < len(list)-1 {
			continue
		}
		if err := c.Handover(ctx, list[first:i+1]); err != nil {
			return errors.Wrapf(err, "sidecar: handover to %s", heir)
		}
		first = i + 1
		size = 0
	}
	return nil
}

func (h *KeyedRequests) look(id string) (work.State, *work.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Lookup(id)
}

// heir returns the sibling that owns a key without this sidecar.
func (s *Siblings) heir(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []work.KeyOwner
	for id, p := range s.peers {
		if p.record.State.TakesWork() {
			members = append(members, work.KeyOwner{Identity: id, Incarnation: p.record.Incarnation})
		}
	}
	owners := work.KeyOwners(key, members)
	if len(owners) == 0 {
		return "", false
	}
	return owners[len(owners)-1].Identity, true
}
