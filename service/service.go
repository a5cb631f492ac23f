// Package service defines what operators declare: services, the routes that classify their requests,
// keys, and the configuration that they form together.
package service

import (
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Class is the kind of a route's requests. It determines whether a request needs a slot and whether it
// may run more than once.
type Class string

const (
	// ClassFlow is the class of long-lived streams, such as a feed of updates.
	ClassFlow Class = "flow"
	// ClassIdempotent is the class of requests that may run more than once.
	ClassIdempotent Class = "idempotent"
	// ClassNonIdempotent is the class of requests that run at most once.
	ClassNonIdempotent Class = "non-idempotent"
)

// Limits and defaults of a service declaration. maxNameLen and defaultMaxBodySize are in bytes.
const (
	maxNameLen         = 63
	maxRoutes          = 64
	maxPriority        = 9
	defaultPriority    = 5
	maxRouteDeadline   = 10 * time.Minute
	defaultDeadline    = 10 * time.Second
	defaultMaxBodySize = 64 << 10
)

// namePattern matches the names of services.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Route classifies the requests whose method and path match it.
type Route struct {
	// Method is the HTTP method of the requests; empty for all methods.
	Method string `json:"method"`
	// PathPrefix is the beginning of the path of the requests.
	PathPrefix string `json:"path-prefix"`
	Class      Class  `json:"class"`
	// Long is set if the requests may occupy a slot much longer than others.
	Long bool `json:"long,omitempty"`
	// Priority orders queued requests, from 0, which is served first, to 9.
	Priority int `json:"priority"`
	// Deadline is the longest time that a request may take; a caller can set a shorter one. 0 means
	// no limit for ClassFlow, and defaultDeadline for the other classes.
	Deadline Duration `json:"deadline"`
}

// Routes are the routes of one service in order; the first one that matches a request applies.
type Routes []Route

// Service is the declaration of a service: its address, and how requests to it are handled.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Address is the IPv4 address and port that callers connect to.
	Address netip.AddrPort `json:"address"`
	Routes  Routes         `json:"routes"`
	// Upstreams restricts the upstreams that may serve the service.
	Upstreams UpstreamRule `json:"upstreams"`
}

// UpstreamRule restricts the upstreams of a service by identity and failure domain. An empty list
// allows all.
type UpstreamRule struct {
	Identities     []string `json:"identities,omitempty"`
	FailureDomains []string `json:"failure-domains,omitempty"`
}

// Services are all declared services.
type Services []Service

// FieldError reports an invalid field of a declaration.
type FieldError struct {
	// Resource is the declaration that contains the field, for example "service/rota-core".
	Resource string
	Field    string
	// Problem says what is wrong, for example "must be 0 to 9".
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return "resource " + e.Resource + ": field " + e.Field + ": " + e.Problem
}

// Duration is a time.Duration that is written in JSON as text such as "1.5s".
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

// Tag returns the number that identifies the service in packets and offers.
func (s *Service) Tag() uint32 { return Tag(s.Name) }

// Tag returns the number that identifies the service called name in packets and offers.
func Tag(name string) uint32 {
	return uint32(xxhash.Sum64String("service " + name))
}

// Defaults sets empty path prefixes to "/" and the deadlines of 0 to defaultDeadline. Routes of
// ClassFlow keep a deadline of 0.
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

// Validate returns a *FieldError for the first invalid field.
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

// validate returns a *FieldError for the first invalid field of a route of resource.
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

// Match returns the first route that matches a request. If there is none, it returns a
// non-idempotent route with default limits, which is the safest.
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

// Allows reports whether an upstream of this identity and failure domain may serve the service.
func (r UpstreamRule) Allows(identity, failureDomain string) bool {
	return allowed(r.Identities, identity) && allowed(r.FailureDomains, failureDomain)
}

// allowed reports whether list contains value or is empty.
func allowed(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return len(list) == 0
}
