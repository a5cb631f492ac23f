package peer

import (
	"encoding/binary"
	"time"

	"greengagedyke/flow"
)

const (
	// querySize is the length of number, origin and number of members.
	querySize = 4 + addressSize + 1
	// questionSize is the length of a flow's key and the acknowledgement.
	questionSize = flow.KeySize + 4
	// answerSize is the length of number and age.
	answerSize = 4 + 4
	// maxMembers bounds the members that one KindQuery is passed on to.
	maxMembers = 255
)

// AppendQuery appends questions about flows; it has at most 255 members.
func AppendQuery(b []byte, a *flow.Query) []byte {
	b = append(b, magic, byte(KindQuery))
	b = binary.BigEndian.AppendUint32(b, a.ID)
	b = appendAddr(b, a.Origin)
	members := a.RelayTo[:min(len(a.RelayTo), maxMembers)]
	b = append(b, byte(len(members)))
	for _, addr := range members {
		b = appendAddr(b, addr)
	}
	for i := range a.Questions {
		b = a.Questions[i].Key.AppendBinary(b)
		b = binary.BigEndian.AppendUint32(b, a.Questions[i].Ack)
	}
	return b
}

// ParseQuery reads the body of a KindQuery.
func ParseQuery(b []byte) (*flow.Query, error) {
	if len(b) < querySize {
		return nil, ErrTruncated
	}
	members := int(b[querySize-1]) * addressSize
	if len(b) < querySize+members || (len(b)-querySize-members)%questionSize != 0 {
		return nil, ErrTruncated
	}
	a := &flow.Query{
		ID:      binary.BigEndian.Uint32(b),
		Origin:  addrFrom(b[4:]),
		RelayTo: addrsFrom(b[querySize : querySize+members]),
	}
	for rest := b[querySize+members:]; len(rest) > 0; rest = rest[questionSize:] {
		a.Questions = append(a.Questions, flow.Question{
			Key: flow.KeyFromBinary(rest), Ack: binary.BigEndian.Uint32(rest[flow.KeySize:]),
		})
	}
	return a, nil
}

// AppendAnswer appends answers about flows.
func AppendAnswer(b []byte, a *flow.Answer) []byte {
	b = append(b, magic, byte(KindAnswer))
	b = binary.BigEndian.AppendUint32(b, a.ID)
	// Ages are rounded up: a flow may be as old as is said.
	age := (a.MaxFlowAge + time.Millisecond - 1) / time.Millisecond
	if age >= 1<<32 {
		age = 0
	}
	b = binary.BigEndian.AppendUint32(b, uint32(age))
	for _, h := range a.Results {
		b = append(b, byte(h))
	}
	return b
}

// ParseAnswer reads the body of a KindAnswer.
func ParseAnswer(b []byte) (*flow.Answer, error) {
	if len(b) < answerSize {
		return nil, ErrTruncated
	}
	a := &flow.Answer{
		ID:         binary.BigEndian.Uint32(b),
		MaxFlowAge: time.Duration(binary.BigEndian.Uint32(b[4:])) * time.Millisecond,
	}
	for _, v := range b[answerSize:] {
		h := flow.LookupResult(v)
		if !h.Known() {
			return nil, ErrForeign
		}
		a.Results = append(a.Results, h)
	}
	return a, nil
}
