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

// maxTimelineQueries is the number of processes that are asked for their events at the same time.
const maxTimelineQueries = 32

// sendTimeline sends the events of this process that match a filter in JSON.
func (n *Node) sendTimeline(s *session.Stream, filter []byte) error {
	events, err := n.ring.QueryJSON(filter)
	if err != nil {
		return err
	}
	return s.Send(&TimelineAnswer{Events: events})
}

// Timeline returns the merged events of this process and all known ones that are not gone, and
// the identities of those that did not answer.
func (n *Node) Timeline(ctx context.Context, credentials *session.Credentials, f timeline.Filter) (timeline.Events, []string, error) {
	filter, err := json.Marshal(f)
	if err != nil {
		return nil, nil, errors.Wrap(err, "control.Node.Timeline")
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lists := []timeline.Events{n.ring.Events(f)}
	var unanswered []string
	limit := make(chan struct{}, maxTimelineQueries)
	for _, o := range n.Members() {
		if o.State == member.StateGone {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			events, err := fetchEvents(ctx, credentials, o.Control, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, o.Identity)
				return
			}
			lists = append(lists, events)
		})
	}
	wg.Wait()
	slices.Sort(unanswered)
	return timeline.Merge(lists...), unanswered, nil
}

// fetchEvents asks the process at addr for the events that match a filter in JSON.
func fetchEvents(ctx context.Context, credentials *session.Credentials, addr netip.AddrPort, filter []byte) (timeline.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	client, closeClient := session.NewClient(addr, credentials)
	defer closeClient()
	var a TimelineAnswer
	if err := client.Call(ctx, &Call{Timeline: filter}, &a); err != nil {
		return nil, err
	}
	var events timeline.Events
	if err := json.Unmarshal(a.Events, &events); err != nil {
		return nil, errors.Wrap(err, "control.fetchEvents")
	}
	return events, nil
}
