package service

import (
	"encoding/hex"

	"github.com/pkg/errors"
)

// Key is a secret shared by balancers and sidecars. The first key of a configuration encodes new
// connection IDs and tunnel datagrams; those made with any of its keys are accepted.
type Key struct {
	ID     uint8  `json:"id"`
	Secret Secret `json:"secret"`
}

// Secret is key material, written as hexadecimal text.
type Secret []byte

// minSecretLen is the shortest accepted key material in bytes.
const minSecretLen = 16

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(s)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "service.Secret")
	}
	*s = b
	return nil
}

// Configuration holds all declarations of the operators as one value with one revision, so that any
// two changes are ordered and a directory of declarations is applied as a whole.
type Configuration struct {
	// Revision identifies this value. Later values have higher ones. In the platform's store, it
	// names only the era of the store in which the value was written.
	Revision uint64 `json:"revision"`
	// WriteID identifies the write that made this revision, so that a writer that lost the answer
	// of the store can tell whether its write succeeded.
	WriteID  string   `json:"write-id"`
	Services Services `json:"services"`
	Keys     []Key    `json:"keys"`
	// EvacuatedDomains are the failure domains whose upstreams get no new work, in sorted order. They
	// are not part of the declared services: applying declarations keeps them.
	EvacuatedDomains []string `json:"evacuated-domains,omitempty"`
}

// Validate checks each service, that no two share a name, address or tag, the keys and the evacuated failure
// domains. It returns a *FieldError for the first problem.
func (c *Configuration) Validate() error {
	names := map[string]bool{}
	addresses := map[string]string{}
	tags := map[uint32]string{}
	for i := range c.Services {
		s := &c.Services[i]
		if err := s.Validate(); err != nil {
			return err
		}
		resource := "service/" + s.Name
		if names[s.Name] {
			return &FieldError{resource, "name", "is declared twice"}
		}
		if other, ok := addresses[s.Address.String()]; ok {
			return &FieldError{resource, "address", "is used by service/" + other}
		}
		if other, ok := tags[s.Tag()]; ok {
			return &FieldError{resource, "name", "has the same tag as service/" + other}
		}
		names[s.Name] = true
		addresses[s.Address.String()] = s.Name
		tags[s.Tag()] = s.Name
	}
	if err := c.validateKeys(); err != nil {
		return err
	}
	return c.validateEvacuations()
}

// validateKeys checks the keys. At most two are allowed: a rotation needs an old and a new one.
func (c *Configuration) validateKeys() error {
	if len(c.Keys) > 2 {
		return &FieldError{"keys", "keys", "must be at most 2"}
	}
	for i, k := range c.Keys {
		if len(k.Secret) < minSecretLen {
			return &FieldError{"keys", "secret", "must have at least 16 bytes"}
		}
		if i > 0 && c.Keys[0].ID == k.ID {
			return &FieldError{"keys", "id", "is repeated"}
		}
	}
	return nil
}

// Service returns the service called name, or nil if there is none.
func (c *Configuration) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Put adds s, or replaces the service of the same name.
func (c *Configuration) Put(s Service) {
	if old := c.Service(s.Name); old != nil {
		*old = s
		return
	}
	c.Services = append(c.Services, s)
}

// Delete removes the service called name and reports whether there was one.
func (c *Configuration) Delete(name string) bool {
	for i := range c.Services {
		if c.Services[i].Name == name {
			c.Services = append(c.Services[:i], c.Services[i+1:]...)
			return true
		}
	}
	return false
}
