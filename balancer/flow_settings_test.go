package balancer

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
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

// Outliers are detected only where the settings ask for it, and a value that is no boolean is an error.
func TestOutlierDetectionSetting(t *testing.T) {
	const required = `"identity":"f-1","failure-domain":"a","packets-address":"10.0.0.1:1","tunnel-address":"10.0.0.1:2",
		"ready-address":"10.0.0.1:3","store-address":"10.0.0.2:4"`
	for _, tt := range []struct {
		name, field string
		want, valid bool
	}{
		{"unset", ``, false, true},
		{"on", `,"outlier-detection":true`, true, true},
		{"no boolean", `,"outlier-detection":"yes"`, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "balancer.json")
			if err := os.WriteFile(file, []byte("{"+required+tt.field+"}"), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg := &FlowSettings{}
			if err := settings.Load(file, cfg); (err == nil) != tt.valid || cfg.DetectOutliers != tt.want {
				t.Errorf("got %v, error %v; want %v, valid %v", cfg.DetectOutliers, err, tt.want, tt.valid)
			}
		})
	}
}
