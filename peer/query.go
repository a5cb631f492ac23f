package peer

import (
	"encoding/binary"
	"time"

	"greengagedyke/flow"
)

const (
	// querySize is the length of a KindQuery body without its lists: ID, origin and relay count.
	querySize = 4 + addressSize + 1
	// questionSize is the length of a flow's key and acknowledgement.
	questionSize = flow.KeySize + 4
	// answerSize is the length of a KindAnswer body without its results: ID and largest flow age.
	answerSize = 4 + 4
	// maxRelayTo is the largest number of sidecars to relay a query to; their count takes one byte.
	maxRelayTo = 255
)

// AppendQuery appends a KindQuery with the first maxRelayTo addresses of q.RelayTo.
func AppendQuery(b []byte, q *flow.Query) []byte {
	b = append(b, magic, byte(KindQuery))
	b = binary.BigEndian.AppendUint32(b, q.ID)
	b = appendAddr(b, q.Origin)
	relayTo := q.RelayTo[:min(len(q.RelayTo), maxRelayTo)]
	b = append(b, byte(len(relayTo)))
	for _, addr := range relayTo {
		b = appendAddr(b, addr)
	}
	for i := range q.Questions {
		b = q.Questions[i].Key.AppendBinary(b)
		b = binary.BigEndian.AppendUint32(b, q.Questions[i].Ack)
	}
	return b
}

// ParseQuery parses the body of a KindQuery.
func ParseQuery(b []byte) (*flow.Query, error) {
	if len(b) < querySize {
		return nil, ErrTruncated
	}
	relaySize := int(b[querySize-1]) * addressSize
	if len(b) < querySize+relaySize || (len(b)-querySize-relaySize)%questionSize != 0 {
		return nil, ErrTruncated
	}
	q := &flow.Query{
		ID:      binary.BigEndian.Uint32(b),
		Origin:  parseAddr(b[4:]),
		RelayTo: parseAddrs(b[querySize : querySize+relaySize]),
	}
	for rest := b[querySize+relaySize:]; len(rest) > 0; rest = rest[questionSize:] {
		q.Questions = append(q.Questions, flow.Question{
			Key: flow.KeyFromBinary(rest), Ack: binary.BigEndian.Uint32(rest[flow.KeySize:]),
		})
	}
	return q, nil
}

// AppendAnswer appends a KindAnswer. A MaxFlowAge that does not fit into 32 bits of milliseconds is
// sent as 0, which means unknown.
func AppendAnswer(b []byte, a *flow.Answer) []byte {
	b = append(b, magic, byte(KindAnswer))
	b = binary.BigEndian.AppendUint32(b, a.ID)
	// The age is rounded up, so that no flow is older than the answer states.
	age := (a.MaxFlowAge + time.Millisecond - 1) / time.Millisecond
	if age >= 1<<32 {
		age = 0
	}
	b = binary.BigEndian.AppendUint32(b, uint32(age))
	for _, result := range a.Results {
		b = append(b, byte(result))
	}
	return b
}

// ParseAnswer parses the body of a KindAnswer. It returns ErrForeign for an unknown result.
func ParseAnswer(b []byte) (*flow.Answer, error) {
	if len(b) < answerSize {
		return nil, ErrTruncated
	}
	a := &flow.Answer{
		ID:         binary.BigEndian.Uint32(b),
		MaxFlowAge: time.Duration(binary.BigEndian.Uint32(b[4:])) * time.Millisecond,
	}
	for _, v := range b[answerSize:] {
		result := flow.LookupResult(v)
		if !result.Valid() {
			return nil, ErrForeign
		}
		a.Results = append(a.Results, result)
	}
	return a, nil
}
