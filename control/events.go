package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"greengagedyke/member"
	"greengagedyke/session"
	"greengagedyke/timeline"
)

// maxAsked bounds the processes that are asked for their events at the same time.
const maxAsked = 32

func (n *Node) sendTimeline(s *session.Stream, filter []byte) error {
	events, err := n.ring.QueryJSON(filter)
	if err != nil {
		return err
	}
	return s.Send(&TimelineAnswer{Events: events})
}

// Timeline merges the events of all processes that are known and not gone, and names
// those that did not answer.
func (n *Node) Timeline(ctx context.Context, credentials *session.Credentials, f timeline.Filter) (timeline.Events, []string, error) {
	filter, err := json.Marshal(f)
	if err != nil {
		return nil, nil, errors.Wrap(err, "control.Node.Timeline")
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lists := []timeline.Events{n.ring.Events(f)}
	var silent []string
	limit := make(chan struct{}, maxAsked)
	for _, o := range n.Members() {
		if o.State == member.StateGone {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			events, err := eventsOf(ctx, credentials, o.Control, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, o.Identity)
				return
			}
			lists = append(lists, events)
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return timeline.Merge(lists...), silent, nil
}

func eventsOf(ctx context.Context, credentials *session.Credentials, addr netip.AddrPort, filter []byte) (timeline.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	peer, closePeer := session.NewClient(addr, credentials)
	defer closePeer()
	var a TimelineAnswer
	if err := peer.Call(ctx, &Call{Timeline: filter}, &a); err != nil {
		return nil, err
	}
	var events timeline.Events
	if err := json.Unmarshal(a.Events, &events); err != nil {
		return nil, errors.Wrap(err, "control: events")
	}
	return events, nil
}
