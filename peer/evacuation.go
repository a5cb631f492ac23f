package peer

import (
	"encoding/binary"

	"greengagedyke/flow"
)

const (
	// evacuationsSize is the length of encoded evacuations after the byte with their number, without the
	// domains.
	evacuationsSize = 8 + 8
	domainIDSize    = 4
)

// appendEvacuations appends evacuations: a byte that is 0 if they have no position, else the number of
// domains plus 1, the position and the domains.
func appendEvacuations(b []byte, e *flow.Evacuations) []byte {
	if e.IsZero() {
		return append(b, 0)
	}
	ids := e.DomainIDs[:min(len(e.DomainIDs), flow.MaxEvacuations)]
	b = append(b, byte(1+len(ids)))
	b = binary.BigEndian.AppendUint64(b, e.Era)
	b = binary.BigEndian.AppendUint64(b, e.Revision)
	for _, id := range ids {
		b = binary.BigEndian.AppendUint32(b, id)
	}
	return b
}

// parseEvacuations parses the evacuations at the start of b, which is not empty, and returns the rest
// of b.
func parseEvacuations(b []byte) (flow.Evacuations, []byte, error) {
	n, rest := int(b[0])-1, b[1:]
	if n < 0 {
		return flow.Evacuations{}, rest, nil
	}
	if n > flow.MaxEvacuations || len(rest) < evacuationsSize+n*domainIDSize {
		return flow.Evacuations{}, nil, ErrTruncated
	}
	era, revision := binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:])
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = binary.BigEndian.Uint32(rest[evacuationsSize+i*domainIDSize:])
	}
	return flow.NewEvacuations(era, revision, ids), rest[evacuationsSize+n*domainIDSize:], nil
}
