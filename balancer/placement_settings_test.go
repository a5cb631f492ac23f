package balancer

import (
	"errors"
	"net/netip"
	"testing"

	"greengagedyke/service"
	"greengagedyke/settings"
)

// A misspelt placement or a negative time is refused with the name of the field.
func TestPlacementSettings(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7720")
	for _, tt := range []struct {
		placement string
		time      service.Duration
		field     string
	}{{"", 0, ""}, {"requests", 0, ""}, {"expected-time", 1, ""}, {"expected", 0, "placement"}, {"expected-time", -1, "other-domain-time"}} {
		s := FlowSettings{Identity: "f", FailureDomain: "a", Packets: addr, Tunnel: addr, Ready: addr, Store: addr, Placement: tt.placement, OtherDomainTime: tt.time}
		s.Defaults()
		var fieldErr *settings.FieldError
		if err := s.Validate(); errors.As(err, &fieldErr) != (tt.field != "") || fieldErr != nil && fieldErr.Field != tt.field {
			t.Errorf("placement %q, time %v: got %v, want an error about %q", tt.placement, tt.time, err, tt.field)
		}
	}
}
