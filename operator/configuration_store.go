package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
	"greengagedyke/service"
)

const (
	// configurationKey is the key of this system's own configuration in the store.
	configurationKey = "greengagedyke/configuration"
	// watchWait is how long a watch waits for a change of the configuration.
	watchWait = 10 * time.Second
)

// eraShift is the number of bits, the lowest ones, of a configuration's revision that hold the store's
// revision. The bits above hold the era.
const eraShift = 40

// configurationRevision returns the revision of a configuration that was written at a position: the
// era in the upper bits and the store's revision in the others. Of two configurations the later one
// has the higher revision, also if the store was restored in between and lost the earlier one.
func configurationRevision(p platform.Position) uint64 { return p.Era<<eraShift | p.Revision }

// positionOf returns the position at which the configuration of a revision was written.
func positionOf(revision uint64) platform.Position {
	return platform.Position{Era: revision >> eraShift, Revision: revision & (1<<eraShift - 1)}
}

// ConfigurationStore reads and writes this system's own configuration, which is one value in the
// platform's store. The stored value names the era in which the configuration was written first, or its
// whole revision if it was written again in a later one. Watch must not be called concurrently.
type ConfigurationStore struct {
	client  *platform.Client
	watcher *Watcher
}

// NewConfigurationStore returns a ConfigurationStore that uses client c.
func NewConfigurationStore(c *platform.Client) *ConfigurationStore {
	ignore := func([]platform.Value, platform.Position, bool) {}
	target := platform.WatchTarget{Key: configurationKey, Prefix: configurationKey, Observe: ignore}
	return &ConfigurationStore{client: c, watcher: NewWatcher(c, target)}
}

// Read returns the configuration in the store; an empty one with revision 0 if there is none.
func (s *ConfigurationStore) Read(ctx context.Context) (*service.Configuration, error) {
	cfg, _, err := s.read(ctx)
	return cfg, err
}

// read is like Read, and also returns the store's revision of the value; 0 if there is none.
func (s *ConfigurationStore) read(ctx context.Context) (*service.Configuration, uint64, error) {
	v, err := s.client.Get(ctx, configurationKey)
	cfg, err := decodeConfiguration(v, err)
	return cfg, v.Revision, err
}

// Watch returns the current configuration on its first call, and after a failed one. Otherwise it
// waits for a newer one, and returns platform.ErrUnchanged if none is written within watchWait.
func (s *ConfigurationStore) Watch(ctx context.Context) (*service.Configuration, error) {
	return decodeConfiguration(s.watcher.Next(ctx, watchWait))
}

// decodeConfiguration decodes a stored value; a missing one is an empty configuration.
func decodeConfiguration(v platform.Value, err error) (*service.Configuration, error) {
	if errors.Is(err, platform.ErrNotFound) {
		return &service.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	cfg := &service.Configuration{}
	if err := json.Unmarshal(v.Data, cfg); err != nil {
		return nil, errors.Wrap(err, "operator.ConfigurationStore: stored value")
	}
	cfg.Revision = storedRevision(cfg.Revision, v.Revision)
	return cfg, nil
}

// storedRevision returns the revision of a stored configuration. named is the revision in the value, and
// stored is the store's revision of the value.
func storedRevision(named, stored uint64) uint64 {
	if p := positionOf(named); p.Revision == 0 {
		return configurationRevision(platform.Position{Era: p.Era, Revision: stored})
	}
	return named
}

// RestoredSince reports whether the store was restored from an older copy after the configuration of a
// revision was written, so that it may have lost it.
func (s *ConfigurationStore) RestoredSince(revision uint64) bool {
	return positionOf(revision).Era < s.client.Era()
}

// Write stores cfg if the revision in the store equals expected, and sets the revision of cfg. If
// the response to the write is lost, the write ID of the stored configuration shows whether the
// write took effect. If it has not yet, the same write is sent again: only one of the two can meet the
// condition.
func (s *ConfigurationStore) Write(ctx context.Context, cfg *service.Configuration, expected uint64) error {
	err := s.writeNew(ctx, cfg, expected)
	if err != nil || !s.RestoredSince(cfg.Revision) {
		return err
	}
	// A new era began around the write: the value is lost, or names the era before the one it is in.
	if err := s.writeNew(ctx, cfg, cfg.Revision); err != nil {
		return errors.WithMessage(platform.ErrAnswerLost, "the store was restored around the write: "+err.Error())
	}
	return nil
}

// writeNew makes one attempt of Write.
func (s *ConfigurationStore) writeNew(ctx context.Context, cfg *service.Configuration, expected uint64) error {
	value := *cfg
	value.Revision = configurationRevision(platform.Position{Era: s.client.Era()})
	revision, err := s.write(ctx, &value, expected)
	if err == nil {
		cfg.Revision = revision
	}
	return err
}

// WriteAgain stores a configuration that the store has lost, under its old revision, if the revision in
// the store equals expected.
func (s *ConfigurationStore) WriteAgain(ctx context.Context, cfg *service.Configuration, expected uint64) error {
	_, err := s.write(ctx, cfg, expected)
	return err
}

// write stores a value if the revision in the store equals expected, and returns the value's revision.
func (s *ConfigurationStore) write(ctx context.Context, value *service.Configuration, expected uint64) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "operator.ConfigurationStore.write")
	}
	w := configurationWrite{value: value, data: data, expected: expected, condition: positionOf(expected).Revision, era: s.client.Era()}
	if s.RestoredSince(expected) {
		// The lower bits of expected cannot be the condition: the store may since have given that revision
		// to another configuration, and another revision to the expected one when it was written again.
		stored, revision, err := s.read(ctx)
		if err != nil {
			return 0, err
		}
		if stored.Revision != expected {
			return 0, &platform.ConflictError{Revision: stored.Revision}
		}
		w.condition = revision
	}
	revision, err := s.send(ctx, &w)
	if !errors.Is(err, errPending) {
		return revision, err
	}
	if revision, err = s.send(ctx, &w); err != nil {
		return 0, errPending // whatever became of the second call, the first may still take effect
	}
	return revision, nil
}

// errPending means that a write whose response was lost has not taken effect, and may still do so
// later.
var errPending = errors.WithMessage(platform.ErrAnswerLost, "the write may take effect later")

// configurationWrite is a write of the configuration.
type configurationWrite struct {
	value *service.Configuration
	// data is the encoded value.
	data []byte
	// expected is the revision of the configuration that the write replaces, condition the store's
	// revision of that value.
	expected, condition uint64
	// era is the store's era when the write was prepared.
	era uint64
}

// send makes one attempt of a write and returns the revision of the written configuration.
func (s *ConfigurationStore) send(ctx context.Context, w *configurationWrite) (uint64, error) {
	revision, err := s.client.Write(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: configurationKey, Revision: w.condition}},
		Puts:       []platform.Put{{Key: configurationKey, Data: w.data}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return storedRevision(w.value.Revision, revision), nil
	case errors.Is(err, platform.ErrAnswerLost), errors.As(err, &conflict):
		return s.resolve(ctx, w, err)
	}
	return 0, err
}

// resolve determines whether a write took effect after its response was lost, or after a conflict,
// which the same write may have caused if it was sent twice.
func (s *ConfigurationStore) resolve(ctx context.Context, w *configurationWrite, cause error) (uint64, error) {
	stored, err := s.Read(ctx)
	switch {
	case err != nil:
		return 0, cause
	case stored.WriteID == w.value.WriteID:
		return stored.Revision, nil
	case errors.As(cause, new(*platform.ConflictError)):
		return 0, &platform.ConflictError{Revision: stored.Revision}
	case s.client.Era() == w.era && stored.Revision == w.expected:
		return 0, errPending
	}
	// Others may have seen the write before the store lost it or another write replaced it, and it may
	// meet its condition again after a restore.
	return 0, cause
}
