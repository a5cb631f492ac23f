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

// watchWait is how long the API keeps a watch waiting.
const watchWait = 5 * time.Second

// ErrUnchanged means that a watch ended without a newer revision.
var ErrUnchanged = errors.New("operator: no newer revision")

// watch answers when the balancer knows a revision later than the one given, which
// makes it resumable: a client continues with the last revision that it has seen.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		a.refuse(w, &service.FieldError{Resource: "watch", Field: "after", Problem: "must be a revision"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchWait)
	defer cancel()
	for {
		changed := a.node.Changed()
		if a.node.Configuration().Revision > after {
			a.get(w, r)
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

// Watch waits for a revision later than after and returns its declarations, without
// keys, or ErrUnchanged when none has come for a while.
func (c *Client) Watch(ctx context.Context, after uint64) (*service.Configuration, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	cfg := &service.Configuration{}
	err := c.call(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, nil, cfg)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	return cfg, err
}
