package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/work"
)

const (
	// handoverChunkSize is the approximate size in bytes of one message of a handover.
	handoverChunkSize = 256 << 10
	// handoverTimeout limits the whole handover.
	handoverTimeout = 5 * time.Second
	// recordOverhead is the estimated size in bytes of a key record without its response body.
	recordOverhead = 128
)

// errNoSuccessor means that no sibling is left to take over this sidecar's key records.
var errNoSuccessor = errors.New("sidecar: no sibling can take over the key records")

// handOver sends each key record of this sidecar to the sibling that owns the key once this sidecar
// has left, so that repeats of the requests it ran are still answered.
func (d *Dispatcher) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	bySuccessor := map[string][]work.KeyRecord{}
	for _, k := range d.upstream.Export() {
		if state, response := d.keyedRequests.lookup(k.RequestID); state != work.StateNone {
			k.State = state
			k.Response = response
		}
		if k.State == work.StateNotRun {
			continue
		}
		successor, ok := d.siblings.successor(k.Key)
		if !ok {
			return errNoSuccessor
		}
		bySuccessor[successor] = append(bySuccessor[successor], k)
	}
	for successor, list := range bySuccessor {
		if err := d.handOverTo(ctx, successor, list); err != nil {
			return err
		}
	}
	return nil
}

// handOverTo sends key records to one sibling, in chunks of about handoverChunkSize.
func (d *Dispatcher) handOverTo(ctx context.Context, successor string, list []work.KeyRecord) error {
	c := d.siblings.client(successor)
	if c == nil {
		return errNoSuccessor
	}
	size := 0
	first := 0
	for i, k := range list {
		size += recordOverhead
		if k.Response != nil {
			size += len(k.Response.Body)
		}
		if size < handoverChunkSize && i < len(list)-1 {
			continue
		}
		if err := c.Handover(ctx, list[first:i+1]); err != nil {
			return errors.Wrapf(err, "sidecar: hand over %d of %d key records to %s", i+1-first, len(list), successor)
		}
		first = i + 1
		size = 0
	}
	return nil
}

// lookup returns the recorded state and response of a request that a caller sent to this sidecar.
func (k *KeyedRequests) lookup(id string) (work.State, *work.Response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Lookup(id)
}

// successor returns the sibling that owns a key once this sidecar has left; false if there is none.
func (s *Siblings) successor(key string) (string, bool) {
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
