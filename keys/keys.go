// Package keys makes the codec of connection IDs and the sealer of tunnel datagrams from the
// configured keys.
package keys

import (
	"github.com/pkg/errors"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/tunnel"
)

// Set holds the codec and the sealer made from the same keys.
type Set struct {
	Codec  *quiclb.Codec
	Sealer *tunnel.Sealer
}

// New returns the Set for the keys of cfg. If cfg has none, it uses secret, the secret of the whole
// system, as key 0.
func New(secret []byte, cfg *service.Configuration) (Set, error) {
	declared := cfg.Keys
	if len(declared) == 0 {
		declared = []service.Key{{ID: 0, Secret: secret}}
	}
	var codecKeys []quiclb.Key
	var sealerKeys []tunnel.Key
	for _, k := range declared {
		codecKeys = append(codecKeys, quiclb.Key{ID: k.ID, Secret: k.Secret})
		sealerKeys = append(sealerKeys, tunnel.Key{ID: k.ID, Secret: k.Secret})
	}
	codec, err := quiclb.NewCodec(codecKeys...)
	if err != nil {
		return Set{}, errors.Wrap(err, "keys.New")
	}
	sealer, err := tunnel.NewSealer(sealerKeys...)
	return Set{Codec: codec, Sealer: sealer}, errors.Wrap(err, "keys.New")
}
