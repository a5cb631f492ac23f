package service

import (
	"strings"
	"testing"
	"time"
)

// Declarations that are valid and cannot work as written. Each route is named by its path in the wanted
// warnings; those without a fault get none.
func TestWarnings(t *testing.T) {
	s := Service{Name: "rota-core", Upstreams: UpstreamRule{Identities: []string{"", "x", "x"}}, Routes: Routes{
		{Method: "GET", PathPrefix: "/feed", Class: ClassFlow},
		{Method: "GET", PathPrefix: "/feed/old", Class: ClassFlow},
		{Method: "POST", PathPrefix: "/feed/old", Class: ClassIdempotent},
		{PathPrefix: "/any", Class: ClassIdempotent, Deadline: Duration(InitialDuration - time.Millisecond)},
		{Method: "GET", PathPrefix: "/any", Class: ClassIdempotent},
		{Method: "get", PathPrefix: "/lower", Class: ClassIdempotent},
		{PathPrefix: "/query?a", Class: ClassIdempotent},
		{PathPrefix: "/long", Class: ClassFlow, Long: true},
	}}
	want := []string{"[GET /feed/old]: never", "[ /any].deadline: no request", "[GET /any]: never", "[get /lower].method", "[ /query?a].path-prefix", "[ /long].long", "empty name", "x is listed twice"}
	checkWarnings(t, s.Warnings(), want)
}

// Sidecars of two services are known. Upstream rules and evacuations leave services without any.
func TestUnserved(t *testing.T) {
	known := []KnownSidecar{{"a-1", "a", "north"}, {"a-2", "a", "south"}, {"b-1", "b", "north"}}
	c := Configuration{EvacuatedDomains: []string{"north"}, Services: Services{
		{Name: "a", Upstreams: UpstreamRule{FailureDomains: []string{"south", "west"}}},
		{Name: "b"},
		{Name: "c"},
	}}
	checkWarnings(t, c.Unserved(known), []string{"service/a: field upstreams.failure-domains: no known sidecar of the service has west", "service/b: field upstreams: all failure domains", "service/c: field name: no sidecar"})
	c.Services = Services{{Name: "a", Upstreams: UpstreamRule{Identities: []string{"a-1"}, FailureDomains: []string{"south"}}}}
	checkWarnings(t, c.Unserved(known), []string{"allows none of the 2 known sidecars"})
}

func checkWarnings(t *testing.T, got []FieldError, want []string) {
	t.Helper()
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || !strings.Contains(got[i].Error(), want[i]) {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// A request whose deadline is as long as it is expected to take is refused once any time has passed since
// it arrived.
func TestWarningOfDeadlineEqualToInitialDuration(t *testing.T) {
	s := Service{Name: "a", Routes: Routes{{PathPrefix: "/", Class: ClassIdempotent, Deadline: Duration(InitialDuration)}}}
	checkWarnings(t, s.Warnings(), []string{"[ /].deadline: no request"})
}
