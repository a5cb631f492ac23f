// Package operator provides the HTTP API, and its client, by which operators change the
// configuration and read the status and the timeline of all processes.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"greengagedyke/control"
	"greengagedyke/member"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/timeline"
)

const (
	// maxBodyLen is the largest accepted request body in bytes.
	maxBodyLen = platform.MaxValue
	// ifRevisionHeader is the header with the revision that a change expects to be stored.
	ifRevisionHeader = "If-Revision"
)

// Store reads and writes the configuration that operators declared.
type Store interface {
	// Read returns the stored configuration, or an empty one with revision 0 if there is none.
	Read(ctx context.Context) (*service.Configuration, error)
	// Write stores cfg and sets its revision. It returns a *platform.ConflictError if the
	// stored revision differs from expected.
	Write(ctx context.Context, cfg *service.Configuration, expected uint64) error
}

// Node is this balancer's view of the configuration and of the other processes.
type Node interface {
	// Configuration returns the newest configuration that the node has received.
	Configuration() *service.Configuration
	// Members returns the records of the other processes, including ended ones.
	Members() []member.ObservedRecord
	// Self returns the record of this balancer.
	Self() member.Record
	// Adopt replaces the node's configuration if cfg is newer, and reports whether it was.
	Adopt(cfg *service.Configuration) bool
	// Changed returns a channel that is closed at the next change of the configuration or of
	// a member.
	Changed() <-chan struct{}
}

// Queries are the functions that collect data from all processes.
type Queries struct {
	// RevisionStatus reports on how many processes a revision is in force.
	RevisionStatus func(ctx context.Context, revision uint64) control.Summary
	// Events collects the events that match f from all processes and merges them. It also
	// returns the identities of the processes that did not answer.
	Events func(ctx context.Context, f timeline.Filter) (timeline.Events, []string, error)
}

// API is the HTTP handler of the operators' API.
type API struct {
	log     *slog.Logger
	store   Store
	node    Node
	queries Queries
	token   string
	mux     *http.ServeMux
}

// New returns the API. Requests without token as their bearer token are rejected.
func New(log *slog.Logger, store Store, node Node, queries Queries, token string) *API {
	a := &API{log: log, store: store, node: node, queries: queries, token: token, mux: http.NewServeMux()}
	a.mux.HandleFunc("PUT /v1/configuration", a.applyConfiguration)
	a.mux.HandleFunc("GET /v1/configuration", a.getConfiguration)
	a.mux.HandleFunc("PUT /v1/evacuation", a.changeEvacuation)
	a.mux.HandleFunc("GET /v1/watch", a.watchConfiguration)
	a.mux.HandleFunc("GET /v1/status", a.getStatus)
	a.mux.HandleFunc("GET /v1/timeline", a.getTimeline)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(a.token)) != 1 {
		writeProblem(w, http.StatusUnauthorized, problem{Title: "the token is missing or wrong"})
		return
	}
	a.mux.ServeHTTP(w, r)
}

// problem is the body of an error response, in the format of RFC 9457. Its fields are those of
// APIError.
type problem struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Resource string `json:"resource,omitempty"`
	Field    string `json:"field,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, p problem) {
	p.Status = status
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p) // the client may have disconnected
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// applyRequest is the body of PUT /v1/configuration: the complete configuration. Without keys,
// the stored keys are kept.
type applyRequest struct {
	Services service.Services `json:"services"`
	Keys     []service.Key    `json:"keys,omitempty"`
}

// applyResponse is the body of a successful PUT /v1/configuration.
type applyResponse struct {
	Revision uint64 `json:"revision"`
}

// applyConfiguration replaces the stored configuration. With an If-Revision header it does so
// only if the stored revision is the given one.
func (a *API) applyConfiguration(w http.ResponseWriter, r *http.Request) {
	request, err := decodeApplyRequest(http.MaxBytesReader(w, r.Body, maxBodyLen))
	if err != nil {
		a.writeError(w, err)
		return
	}
	cfg := &service.Configuration{Services: request.Services, Keys: request.Keys, WriteID: rand.Text()}
	for i := range cfg.Services {
		cfg.Services[i].Defaults()
	}
	if err := cfg.Validate(); err != nil {
		a.writeError(w, err)
		return
	}
	if err := a.replaceConfiguration(r, cfg); err != nil {
		a.writeError(w, err)
		return
	}
	a.log.Info("configuration-accepted", "revision", cfg.Revision)
	a.node.Adopt(cfg)
	writeJSON(w, applyResponse{Revision: cfg.Revision})
}

// decodeApplyRequest decodes an applyRequest. It returns a *service.FieldError if r is invalid.
func decodeApplyRequest(r io.Reader) (*applyRequest, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	request := &applyRequest{}
	if err := dec.Decode(request); err != nil {
		return nil, &service.FieldError{Resource: "configuration", Field: "body", Problem: err.Error()}
	}
	return request, nil
}

// replaceConfiguration writes cfg to the store, with the current keys if cfg has none and with the
// current evacuations, which declarations do not contain. It returns a *platform.ConflictError if the
// current revision is not that of the If-Revision header of r, or changes during the call. A header
// that is not a number is ignored.
func (a *API) replaceConfiguration(r *http.Request, cfg *service.Configuration) error {
	stored, current, err := a.readCurrent(r.Context())
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		cfg.Keys = current.Keys
	}
	cfg.EvacuatedDomains = current.EvacuatedDomains
	expected, err := strconv.ParseUint(r.Header.Get(ifRevisionHeader), 10, 64)
	if err != nil {
		expected = current.Revision
	}
	if expected != current.Revision {
		return &platform.ConflictError{Revision: current.Revision}
	}
	return a.store.Write(r.Context(), cfg, stored)
}

// readCurrent returns the revision in the store, and the current configuration: the stored one, or the
// node's if the store was restored from an older copy and has lost it.
func (a *API) readCurrent(ctx context.Context) (stored uint64, current *service.Configuration, err error) {
	current, err = a.store.Read(ctx)
	if err != nil {
		return 0, nil, err
	}
	stored = current.Revision
	if known := a.node.Configuration(); known.Revision > stored {
		current = known
	}
	return stored, current, nil
}

// writeError responds with the status code and the problem for err.
func (a *API) writeError(w http.ResponseWriter, err error) {
	var field *service.FieldError
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &field):
		writeProblem(w, http.StatusUnprocessableEntity, problem{Title: field.Problem, Resource: field.Resource, Field: field.Field})
	case errors.As(err, &conflict):
		writeProblem(w, http.StatusConflict, problem{Title: "another change came first", Revision: conflict.Revision})
	case errors.Is(err, platform.ErrAnswerLost):
		writeProblem(w, http.StatusGatewayTimeout, problem{Title: "outcome unknown: the store's answer was lost, the change may be accepted"})
	default:
		writeProblem(w, http.StatusServiceUnavailable, problem{Title: "not accepted: " + err.Error()})
	}
}

// getConfiguration responds with the balancer's newest configuration, without keys.
func (a *API) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	cfg := *a.node.Configuration()
	cfg.Keys = nil // the API never returns secrets
	writeJSON(w, cfg)
}

// Status is a balancer's view of the configuration and of all processes.
type Status struct {
	// Revision is the balancer's newest revision of the configuration.
	Revision uint64 `json:"revision"`
	// EvacuatedDomains are the evacuated failure domains in that revision.
	EvacuatedDomains []string       `json:"evacuated-domains,omitempty"`
	Members          []MemberStatus `json:"members"`
	// InForce is the number of processes that act on Revision or a later one.
	InForce int `json:"in-force"`
	// Total is the number of processes that report their revision.
	Total int `json:"of"`
	// Behind lists the identities of some processes that act on an older revision.
	Behind []string `json:"missing,omitempty"`
	// SilentDomains lists the failure domains from which no report on the processes was received.
	SilentDomains []string `json:"silent-failure-domains,omitempty"`
}

// MemberStatus is a balancer's view of one process.
type MemberStatus struct {
	Identity string `json:"identity"`
	// Service is the service that a sidecar's upstream serves; empty for a balancer.
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure-domain"`
	// State is the name of a member.State, or "silent" if the process is not alive according to
	// member.ObservedRecord.Alive.
	State string `json:"state"`
	// MissedBy lists the balancers that no longer receive the process's announcements.
	MissedBy []string `json:"missed-by,omitempty"`
}

// getStatus responds with a Status.
func (a *API) getStatus(w http.ResponseWriter, r *http.Request) {
	cfg := a.node.Configuration()
	s := Status{Revision: cfg.Revision, EvacuatedDomains: cfg.EvacuatedDomains}
	summary := a.queries.RevisionStatus(r.Context(), s.Revision)
	s.InForce = summary.InForce
	s.Total = summary.Total
	s.Behind = summary.Behind
	s.SilentDomains = summary.Silent
	s.addMember(member.ObservedRecord{Record: a.node.Self()})
	for _, o := range a.node.Members() {
		if o.State != member.StateGone {
			s.addMember(o)
		}
	}
	writeJSON(w, s)
}

func (s *Status) addMember(o member.ObservedRecord) {
	m := MemberStatus{
		Identity:      o.Identity,
		Service:       o.Service,
		FailureDomain: o.FailureDomain,
		State:         o.State.String(),
		MissedBy:      o.Witnesses,
	}
	if !o.Alive() {
		m.State = "silent"
	}
	s.Members = append(s.Members, m)
}

// ReadyCount returns the number of processes in the state "ready".
func (s *Status) ReadyCount() int {
	n := 0
	for _, m := range s.Members {
		if m.State == member.StateReady.String() {
			n++
		}
	}
	return n
}
