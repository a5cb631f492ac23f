// Package keys turns the declared keys into what encodes connection IDs and
// authenticates tunnel datagrams.
package keys

import (
	"github.com/pkg/errors"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/tunnel"
)

// Set is everything made from one set of keys.
type Set struct {
	Codec  *quiclb.Codec
	Sealer *tunnel.Sealer
}

// New returns the set for the keys of cfg, or for the system's secret while no
// key is declared.
func New(secret []byte, cfg *service.Configuration) (Set, error) {
	declared := cfg.Keys
	if len(declared) == 0 {
		declared = []service.Key{{ID: 0, Secret: secret}}
	}
	var ids []quiclb.Key
	var seals []tunnel.Key
	for _, k := range declared {
		ids = append(ids, quiclb.Key{ID: k.ID, Secret: k.Secret})
		seals = append(seals, tunnel.Key{ID: k.ID, Secret: k.Secret})
	}
	codec, err := quiclb.NewCodec(ids...)
	if err != nil {
		return Set{}, errors.Wrap(err, "keys.New")
	}
	sealer, err := tunnel.NewSealer(seals...)
	return Set{Codec: codec, Sealer: sealer}, errors.Wrap(err, "keys.New")
}
