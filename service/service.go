// Package service holds the domain types that operators declare: services, the
// routes that classify their requests, keys, and the configuration they form.
package service

import (
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Class tells what may be done with a request.
type Class string

const (
	// ClassFlow is a long-lived stream, such as a board or a ledger feed.
	ClassFlow Class = "flow"
	// ClassIdempotent may run more than once.
	ClassIdempotent Class = "idempotent"
	// ClassNonIdempotent runs at most once.
	ClassNonIdempotent Class = "non-idempotent"
)

// Bounds of a service declaration.
const (
	maxNameLen         = 63
	maxRoutes          = 64
	maxPriority        = 9
	defaultPriority    = 5
	maxRouteDeadline   = 10 * time.Minute
	defaultDeadline    = 10 * time.Second
	defaultMaxBodySize = 64 << 10
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Route classifies the requests whose method and path match it.
type Route struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path-prefix"`
	Class      Class  `json:"class"`
	// Long marks work that may hold a slot much longer than other work.
	Long bool `json:"long,omitempty"`
	// Priority orders queued work: 0 is served first.
	Priority int `json:"priority"`
	// Deadline bounds a request that states none itself.
	Deadline Duration `json:"deadline"`
}

// Routes are the routes of one service, the first match counts.
type Routes []Route

// Service is what an operator declares: an address, and how requests to it are treated.
type Service struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Routes  Routes         `json:"routes"`
	// Upstreams are the rules of who may serve.
	Upstreams UpstreamRule `json:"upstreams"`
}

// UpstreamRule limits who may serve a service. Empty lists allow everyone.
type UpstreamRule struct {
	Identities     []string `json:"identities,omitempty"`
	FailureDomains []string `json:"failure-domains,omitempty"`
}

// Services are all declared services.
type Services []Service

// FieldError names the resource and field that a declaration got wrong.
type FieldError struct {
	Resource string
	Field    string
	Problem  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return "resource " + e.Resource + ": field " + e.Field + ": " + e.Problem
}

// Duration is a time.Duration that is written as text such as "1.5s" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "service.Duration")
	}
	*d = Duration(v)
	return nil
}

// Tag is the number by which packets and offers name a service.
func (s *Service) Tag() uint32 { return Tag(s.Name) }

// Tag is the number by which packets and offers name the service called name.
func Tag(name string) uint32 {
	return uint32(xxhash.Sum64String("service " + name))
}

// Defaults fills the fields that were left empty.
func (s *Service) Defaults() {
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.PathPrefix == "" {
			r.PathPrefix = "/"
		}
		if r.Deadline == 0 && r.Class != ClassFlow {
			r.Deadline = Duration(defaultDeadline)
		}
	}
}

// Validate returns a *FieldError for the first field that is not acceptable.
func (s *Service) Validate() error {
	resource := "service/" + s.Name
	if !namePattern.MatchString(s.Name) || len(s.Name) > maxNameLen {
		return &FieldError{resource, "name", "must be 1 to 63 lower-case letters, digits and hyphens"}
	}
	if !s.Address.IsValid() || !s.Address.Addr().Is4() || s.Address.Port() == 0 {
		return &FieldError{resource, "address", "must be an IPv4 address and a port"}
	}
	if len(s.Routes) == 0 || len(s.Routes) > maxRoutes {
		return &FieldError{resource, "routes", "must have 1 to 64 routes"}
	}
	for i := range s.Routes {
		if err := s.Routes[i].validate(resource); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(resource string) error {
	field := "routes[" + r.Method + " " + r.PathPrefix + "]"
	switch r.Class {
	case ClassFlow, ClassIdempotent, ClassNonIdempotent:
	default:
		return &FieldError{resource, field + ".class", "must be flow, idempotent or non-idempotent"}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return &FieldError{resource, field + ".path-prefix", "must start with /"}
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		return &FieldError{resource, field + ".priority", "must be 0 to 9"}
	}
	if r.Deadline < 0 || time.Duration(r.Deadline) > maxRouteDeadline {
		return &FieldError{resource, field + ".deadline", "must be 0s to 10m"}
	}
	return nil
}

// Match returns the first route for a request. Requests that no route matches
// are non-idempotent with default limits, the safest treatment.
func (rs Routes) Match(method, path string) Route {
	for _, r := range rs {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return Route{
		Method:     method,
		PathPrefix: "/",
		Class:      ClassNonIdempotent,
		Priority:   defaultPriority,
		Deadline:   Duration(defaultDeadline),
	}
}

// Allows reports whether an upstream of this identity and failure domain may serve.
func (r UpstreamRule) Allows(identity, failureDomain string) bool {
	return allowed(r.Identities, identity) && allowed(r.FailureDomains, failureDomain)
}

func allowed(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return len(list) == 0
}
