package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"greengagedyke/service"
	"greengagedyke/timeline"
)

// Timeline holds the merged events of all processes that answered.
type Timeline struct {
	Events timeline.Events `json:"events"`
	// NoAnswer lists the identities of the processes that did not answer.
	NoAnswer []string `json:"silent,omitempty"`
}

// getTimeline responds with a Timeline of the events that match the query parameters.
func (a *API) getTimeline(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r.URL.Query())
	if err != nil {
		a.writeError(w, err)
		return
	}
	events, noAnswer, err := a.queries.Events(r.Context(), f)
	if err != nil {
		a.writeError(w, err)
		return
	}
	writeJSON(w, Timeline{Events: events, NoAnswer: noAnswer})
}

// parseFilter returns the filter in the query parameters of GET /v1/timeline. It returns a
// *service.FieldError if one of them is invalid.
func parseFilter(q url.Values) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:  q.Get("request"),
		Upstream: q.Get("upstream"),
		Kind:     timeline.Kind(q.Get("kind")),
	}
	var err error
	if text := q.Get("revision"); text != "" {
		if f.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return f, &service.FieldError{Resource: "timeline", Field: "revision", Problem: "must be a number"}
		}
	}
	if text := q.Get("since"); text != "" {
		if f.Since, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return f, &service.FieldError{Resource: "timeline", Field: "since", Problem: "must be a time as in RFC 3339"}
		}
	}
	return f, nil
}

// Timeline collects the events that match f from all processes.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (Timeline, error) {
	q := url.Values{"request": {f.Request}, "upstream": {f.Upstream}, "kind": {string(f.Kind)}}
	if f.Revision > 0 {
		q.Set("revision", strconv.FormatUint(f.Revision, 10))
	}
	if !f.Since.IsZero() {
		q.Set("since", f.Since.Format(time.RFC3339Nano))
	}
	var t Timeline
	err := c.call(ctx, http.MethodGet, "/v1/timeline?"+q.Encode(), nil, nil, &t)
	return t, err
}
