package balancer

import (
	"os"
	"path/filepath"
	"testing"

	"greengagedyke/settings"
)

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
