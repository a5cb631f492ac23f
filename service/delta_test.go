package service

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
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
			if rapid.Bool().Draw(t, "evacuation") {
				cfg.EvacuatedDomains = []string{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "domain"))}
			}
			h.Advance(cfg)
			old = append(old, cfg)
		}
		newest := old[len(old)-1]
		for _, cfg := range append(old, &Configuration{}) {
			d := h.DeltaSince(cfg.Revision)
			raw, err := json.Marshal(d.ForService("no such service"))
			if err != nil {
				t.Fatal(err)
			}
			var part Delta
			if err := json.Unmarshal(raw, &part); err != nil {
				t.Fatal(err)
			}
			if got, err := part.Apply(cfg); err != nil || !slices.Equal(got.EvacuatedDomains, newest.EvacuatedDomains) {
				t.Fatalf("from revision %d for one service: got %+v, error %v, want %v evacuated", cfg.Revision, got, err, newest.EvacuatedDomains)
			}
			got, err := d.Apply(cfg)
			if err != nil {
				t.Fatal(err)
			}
			if got.Revision != newest.Revision || !equalKeys(got.Keys, newest.Keys) || !slices.Equal(got.EvacuatedDomains, newest.EvacuatedDomains) || !reflect.DeepEqual(byName(got), byName(newest)) {
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
