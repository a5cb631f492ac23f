package service

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// InitialDuration is the expected duration of a route's requests until one of them has finished.
const InitialDuration = 20 * time.Millisecond

// KnownSidecar is a sidecar that is known to a balancer.
type KnownSidecar struct {
	Identity      string
	Service       string
	FailureDomain string
}

// Warnings returns what is valid in a service but has no effect or cannot work as declared: routes that
// never match, limits that no request can meet, and settings that do not apply.
func (s *Service) Warnings() []FieldError {
	w := warnings{resource: "service/" + s.Name}
	for i := range s.Routes {
		r := &s.Routes[i]
		field := "routes[" + r.Method + " " + r.PathPrefix + "]"
		for j := range s.Routes[:i] {
			if earlier := &s.Routes[j]; earlier.covers(r) {
				w.addf(field, "never matches: the earlier route [%s %s] matches all its requests", earlier.Method, earlier.PathPrefix)
				break
			}
		}
		r.warn(&w, field)
	}
	w.checkList("upstreams.identities", s.Upstreams.Identities)
	w.checkList("upstreams.failure-domains", s.Upstreams.FailureDomains)
	return w.list
}

// covers reports whether r matches every request that o matches.
func (r *Route) covers(o *Route) bool {
	return (r.Method == "" || r.Method == o.Method) && strings.HasPrefix(o.PathPrefix, r.PathPrefix)
}

// warn adds the warnings about the route alone to w. field names the route.
func (r *Route) warn(w *warnings, field string) {
	if r.Method != strings.ToUpper(r.Method) || strings.ContainsAny(r.Method, " \t,;/") {
		w.addf(field+".method", "never matches: methods are compared as they are sent, such as GET")
	}
	if i := strings.IndexAny(r.PathPrefix, "?#%"); i >= 0 {
		w.addf(field+".path-prefix", "contains %q: it is compared with the decoded path without the query", r.PathPrefix[i])
	}
	if r.Class == ClassFlow && r.Long {
		w.addf(field+".long", "has no effect: streams of the class flow use no slot")
	}
	if r.Class != ClassFlow && r.Deadline > 0 && time.Duration(r.Deadline) <= InitialDuration {
		w.addf(field+".deadline", "no request is run: a request is expected to take %s until the first one has finished", InitialDuration)
	}
}

// Unserved returns warnings about services of cfg that no sidecar in known may serve, about upstream
// rules that match none of these sidecars, and about services whose sidecars are all in evacuated
// failure domains.
func (c *Configuration) Unserved(known []KnownSidecar) []FieldError {
	var list []FieldError
	for i := range c.Services {
		s := &c.Services[i]
		w := warnings{resource: "service/" + s.Name}
		var ofService, allowed []KnownSidecar
		for _, k := range known {
			if k.Service == s.Name {
				ofService = append(ofService, k)
			}
		}
		for _, k := range ofService {
			if s.Upstreams.Allows(k.Identity, k.FailureDomain) {
				allowed = append(allowed, k)
			}
		}
		w.checkUnmatched("upstreams.identities", s.Upstreams.Identities, ofService, func(k KnownSidecar) string { return k.Identity })
		w.checkUnmatched("upstreams.failure-domains", s.Upstreams.FailureDomains, ofService, func(k KnownSidecar) string { return k.FailureDomain })
		switch {
		case len(ofService) == 0:
			w.addf("name", "no sidecar of the service is known")
		case len(allowed) == 0:
			w.addf("upstreams", "allows none of the %d known sidecars", len(ofService))
		case !slices.ContainsFunc(allowed, func(k KnownSidecar) bool { return !c.IsEvacuated(k.FailureDomain) }):
			w.addf("upstreams", "all failure domains of its sidecars are evacuated")
		}
		list = append(list, w.list...)
	}
	return list
}

// warnings collects the warnings about one resource.
type warnings struct {
	resource string
	list     []FieldError
}

func (w *warnings) addf(field, format string, args ...any) {
	w.list = append(w.list, FieldError{w.resource, field, fmt.Sprintf(format, args...)})
}

// checkList warns of empty and repeated entries of a list of names.
func (w *warnings) checkList(field string, names []string) {
	for i, name := range names {
		switch {
		case name == "":
			w.addf(field, "an empty name matches no upstream")
		case slices.Contains(names[:i], name):
			w.addf(field, "%s is listed twice", name)
		}
	}
}

// checkUnmatched warns of names of an upstream rule that none of the service's sidecars has.
func (w *warnings) checkUnmatched(field string, names []string, sidecars []KnownSidecar, nameOf func(KnownSidecar) string) {
	for _, name := range names {
		if len(sidecars) > 0 && !slices.ContainsFunc(sidecars, func(k KnownSidecar) bool { return nameOf(k) == name }) {
			w.addf(field, "no known sidecar of the service has %s", name)
		}
	}
}
