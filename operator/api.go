// Package operator is the resource API that operators and their tools use.
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

// maxBody is the largest request body in bytes.
const (
	maxBody = platform.MaxValue
	// ifRevisionHeader carries the revision that a change expects to be in force.
	ifRevisionHeader = "If-Revision"
)

// Store holds what operators declared.
type Store interface {
	Read(ctx context.Context) (*service.Configuration, error)
	Write(ctx context.Context, cfg *service.Configuration, expected uint64) error
}

// Node knows what is in force.
type Node interface {
	Configuration() *service.Configuration
	Members() []member.ObservedRecord
	Self() member.Record
	Adopt(cfg *service.Configuration) bool
	// Changed is closed at the next change of anything that the node knows.
	Changed() <-chan struct{}
}

// Queries are put to all processes.
type Queries struct {
	// RevisionStatus asks where a revision is in force.
	RevisionStatus func(ctx context.Context, revision uint64) control.Summary
	// Events merges the time lines, and names the processes that did not answer.
	Events func(ctx context.Context, f timeline.Filter) (timeline.Events, []string, error)
}

// API serves the resources.
type API struct {
	log     *slog.Logger
	store   Store
	node    Node
	queries Queries
	token   string
	mux     *http.ServeMux
}

// New returns the API. Every request must carry token as its bearer token.
func New(log *slog.Logger, store Store, node Node, ask Queries, token string) *API {
	a := &API{log: log, store: store, node: node, queries: ask, token: token, mux: http.NewServeMux()}
	a.mux.HandleFunc("PUT /v1/configuration", a.apply)
	a.mux.HandleFunc("GET /v1/configuration", a.get)
	a.mux.HandleFunc("GET /v1/watch", a.watch)
	a.mux.HandleFunc("GET /v1/status", a.status)
	a.mux.HandleFunc("GET /v1/timeline", a.timeline)
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

// problem is an error answer as in RFC 9457.
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
	_ = json.NewEncoder(w).Encode(p) // the client may be gone
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may be gone
}

// declarations is the body of an apply: everything that is wanted.
type declarations struct {
	Services service.Services `json:"services"`
	Keys     []service.Key    `json:"keys,omitempty"`
}

type applied struct {
	Revision uint64 `json:"revision"`
}

// apply replaces all declarations. With If-Revision it only does so when that
// revision is still in force.
func (a *API) apply(w http.ResponseWriter, r *http.Request) {
	d, err := decodeDeclarations(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		a.refuse(w, err)
		return
	}
	cfg := &service.Configuration{Services: d.Services, Keys: d.Keys, WriteID: rand.Text()}
	for i := range cfg.Services {
		cfg.Services[i].Defaults()
	}
	if err := cfg.Validate(); err != nil {
		a.refuse(w, err)
		return
	}
	if err := a.write(r, cfg); err != nil {
		a.refuse(w, err)
		return
	}
	a.log.Info("configuration-accepted", "revision", cfg.Revision)
	a.node.Adopt(cfg)
	writeJSON(w, applied{Revision: cfg.Revision})
}

func decodeDeclarations(r io.Reader) (*declarations, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	d := &declarations{}
	if err := dec.Decode(d); err != nil {
		return nil, &service.FieldError{Resource: "configuration", Field: "body", Problem: err.Error()}
	}
	return d, nil
}

func (a *API) write(r *http.Request, cfg *service.Configuration) error {
	current, err := a.store.Read(r.Context())
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		cfg.Keys = current.Keys
	}
	expected, err := strconv.ParseUint(r.Header.Get(ifRevisionHeader), 10, 64)
	if err != nil {
		expected = current.Revision
	}
	if expected != current.Revision {
		return &platform.ConflictError{Revision: current.Revision}
	}
	return a.store.Write(r.Context(), cfg, expected)
}

func (a *API) refuse(w http.ResponseWriter, err error) {
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

func (a *API) get(w http.ResponseWriter, _ *http.Request) {
	cfg := *a.node.Configuration()
	cfg.Keys = nil // secrets are written, never read
	writeJSON(w, cfg)
}

// Status is what a balancer knows of all processes.
type Status struct {
	Revision uint64         `json:"revision"`
	Members  []MemberStatus `json:"members"`
	// InForce is the number of processes that act on the revision, of all that report.
	InForce int `json:"in-force"`
	Of      int `json:"of"`
	// Missing names some of the processes that do not.
	Missing []string `json:"missing,omitempty"`
	// Silent names the failure domains that cannot be asked.
	Silent []string `json:"silent-failure-domains,omitempty"`
}

// MemberStatus is what a balancer knows of one process.
type MemberStatus struct {
	Identity      string `json:"identity"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	// MissedBy names the balancers that no longer hear the process.
	MissedBy []string `json:"missed-by,omitempty"`
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s := Status{Revision: a.node.Configuration().Revision}
	summary := a.queries.RevisionStatus(r.Context(), s.Revision)
	s.InForce = summary.InForce
	s.Of = summary.Total
	s.Missing = summary.Behind
	s.Silent = summary.Silent
	s.add(member.ObservedRecord{Record: a.node.Self()})
	for _, o := range a.node.Members() {
		if o.State != member.StateGone {
			s.add(o)
		}
	}
	writeJSON(w, s)
}

func (s *Status) add(o member.ObservedRecord) {
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

// Ready is the number of processes that take new work.
func (s *Status) Ready() int {
	n := 0
	for _, m := range s.Members {
		if m.State == member.StateReady.String() {
			n++
		}
	}
	return n
}
