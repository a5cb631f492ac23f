package service

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Applying the delta since any revision to the configuration of that revision yields the newest one.
func TestDeltaSinceYieldsNewestConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory()
		var old []*Configuration
		for revision := range rapid.IntRange(1, 30).Draw(t, "revisions") {
			cfg := &Configuration{Revision: uint64(revision + 1), WriteID: fmt.Sprint(revision)}
			for i := range rapid.IntRange(0, 4).Draw(t, "services") {
				cfg.Services = append(cfg.Services, Service{Name: fmt.Sprint(i), Upstreams: UpstreamRule{Identities: []string{rapid.StringN(0, 1, 1).Draw(t, "rule")}}})
			}
			if rapid.Bool().Draw(t, "keys") {
				cfg.Keys = []Key{{ID: rapid.Byte().Draw(t, "key"), Secret: Secret("0123456789abcdef")}}
			} else if len(old) > 0 {
				cfg.Keys = old[len(old)-1].Keys
			}
			h.Advance(cfg)
			old = append(old, cfg)
		}
		newest := old[len(old)-1]
		for _, cfg := range append(old, &Configuration{}) {
			d := h.DeltaSince(cfg.Revision)
			got, err := d.Apply(cfg)
			if err != nil {
				t.Fatal(err)
			}
			if got.Revision != newest.Revision || !equalKeys(got.Keys, newest.Keys) || !reflect.DeepEqual(byName(got), byName(newest)) {
				t.Fatalf("from revision %d: got %+v, want %+v", cfg.Revision, got, newest)
			}
		}
	})
}

// byName returns the services by name, since deltas do not keep their order.
func byName(cfg *Configuration) map[string]Service {
	m := map[string]Service{}
	for _, s := range cfg.Services {
		m[s.Name] = s
	}
	return m
}
