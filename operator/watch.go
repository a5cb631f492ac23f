package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
)

// watchTimeout is how long a watch request waits for a newer revision.
const watchTimeout = 5 * time.Second

// ErrUnchanged means that a watch timed out without a newer revision.
var ErrUnchanged = errors.New("operator: no newer revision")

// watchConfiguration waits until the balancer's revision is newer than the query parameter
// "after" and responds with the configuration, or with 304 after watchTimeout. A client resumes
// the watch by passing the last revision that it received.
func (a *API) watchConfiguration(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		a.writeError(w, &service.FieldError{Resource: "watch", Field: "after", Problem: "must be a revision"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout)
	defer cancel()
	for {
		changed := a.node.Changed()
		if a.node.Configuration().Revision > after {
			a.getConfiguration(w, r)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// Watch waits for a revision newer than after and returns its configuration, without keys. It
// returns ErrUnchanged if there is none within a few seconds.
func (c *Client) Watch(ctx context.Context, after uint64) (*service.Configuration, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	cfg := &service.Configuration{}
	err := c.call(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, nil, cfg)
	var apiErr *APIError
	if errors.As(err, &apiErr) && apiErr.Status == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	return cfg, err
}
