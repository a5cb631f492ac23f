package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"greengagedyke/member"
	"greengagedyke/platform"
	"greengagedyke/service"
)

// evacuationAttempts is how often a change is tried if other changes of the configuration come first.
const evacuationAttempts = 3

// evacuationRequest is the body of PUT /v1/evacuation.
type evacuationRequest struct {
	FailureDomain string `json:"failure-domain"`
	// Evacuated is true to evacuate the failure domain, false to restore it. It is required.
	Evacuated *bool `json:"evacuated"`
	// Force allows the evacuation of a failure domain that no known process is in.
	Force bool `json:"force,omitempty"`
}

// changeEvacuation evacuates or restores a failure domain. Everything else in the configuration stays.
func (a *API) changeEvacuation(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyLen))
	dec.DisallowUnknownFields()
	var request evacuationRequest
	if err := dec.Decode(&request); err != nil {
		a.writeError(w, &service.FieldError{Resource: "evacuation", Field: "body", Problem: err.Error()})
		return
	}
	if request.Evacuated == nil {
		a.writeError(w, &service.FieldError{Resource: "evacuation", Field: "evacuated", Problem: "must be true or false"})
		return
	}
	if *request.Evacuated && !request.Force {
		if err := service.CheckDomain(request.FailureDomain, a.knownDomains()); err != nil {
			a.writeError(w, err)
			return
		}
	}
	cfg, err := a.writeEvacuation(r.Context(), &request)
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.log.Info("evacuation-accepted", "failure-domain", request.FailureDomain, "evacuated", *request.Evacuated, "revision", cfg.Revision)
	a.node.Adopt(cfg)
	writeJSON(w, applyResponse{Revision: cfg.Revision})
}

// writeEvacuation applies a request to the current configuration and writes the result to the store.
// If another change comes first, it starts again from the configuration that this one led to.
func (a *API) writeEvacuation(ctx context.Context, request *evacuationRequest) (*service.Configuration, error) {
	var err error
	for range evacuationAttempts {
		var stored uint64
		var current *service.Configuration
		if stored, current, err = a.readCurrent(ctx); err != nil {
			return nil, err
		}
		cfg := *current
		cfg.WriteID = rand.Text()
		if err := request.apply(&cfg); err != nil {
			return nil, err
		}
		if err = a.store.Write(ctx, &cfg, stored); err == nil {
			return &cfg, nil
		}
		if !errors.As(err, new(*platform.ConflictError)) {
			return nil, err
		}
	}
	return nil, err
}

// apply changes a configuration as requested. It returns a *service.FieldError if that changes nothing
// or the result is invalid.
func (r *evacuationRequest) apply(cfg *service.Configuration) error {
	change := cfg.Restore
	if *r.Evacuated {
		change = cfg.Evacuate
	}
	if err := change(r.FailureDomain); err != nil {
		return err
	}
	return cfg.Validate()
}

// knownDomains returns the failure domains of all known processes that have not ended, sorted.
func (a *API) knownDomains() []string {
	domains := []string{a.node.Self().FailureDomain}
	for _, o := range a.node.Members() {
		if o.State != member.StateGone {
			domains = append(domains, o.FailureDomain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// Evacuate evacuates a failure domain and returns the new revision. With force set, no process has to
// be in it.
func (c *Client) Evacuate(ctx context.Context, domain string, force bool) (uint64, error) {
	return c.changeEvacuation(ctx, evacuationRequest{FailureDomain: domain, Evacuated: new(true), Force: force})
}

// Restore ends the evacuation of a failure domain and returns the new revision.
func (c *Client) Restore(ctx context.Context, domain string) (uint64, error) {
	return c.changeEvacuation(ctx, evacuationRequest{FailureDomain: domain, Evacuated: new(false)})
}

func (c *Client) changeEvacuation(ctx context.Context, request evacuationRequest) (uint64, error) {
	var response applyResponse
	err := c.call(ctx, http.MethodPut, "/v1/evacuation", nil, request, &response)
	return response.Revision, err
}
