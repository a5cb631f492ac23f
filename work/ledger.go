package work

import (
	"time"

	"github.com/pkg/errors"
)

// State is what a ledger knows of a request.
type State uint8

const (
	// StateNone means that the request has not been heard of.
	StateNone State = iota
	// StateNotRun means that the request was not run here and never will be.
	StateNotRun
	// StateRunning means that the upstream may be running it.
	StateRunning
	// StateAnswered means that the upstream has answered.
	StateAnswered
	// StateUnknown means that it was started and no answer will come.
	StateUnknown
)

var stateNames = [...]string{"none", "not-run", "running", "answered", "unknown"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state of a name; unknown names are StateUnknown, the
// safe reading.
func ParseState(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return StateUnknown
}

const (
	// keepRecord is how long a request is remembered after it ended.
	keepRecord = 10 * time.Minute
	// maxRecords bounds the requests that are remembered.
	maxRecords = 1 << 17
	// expireInterval is the shortest time between looks for records to forget.
	expireInterval = 5 * time.Second
	// MaxKeptAnswer is the largest answer body in bytes that is kept for a repeat.
	MaxKeptAnswer = 64 << 10
	// maxKeptBytes bounds the bodies of all kept answers.
	maxKeptBytes = 16 << 20
)

// Errors of a ledger.
var (
	ErrMarked     = errors.New("work: the request was marked as never to run")
	ErrLedgerFull = errors.New("work: too many requests are remembered")
)

// record is one request that may run, has run or never will.
type record struct {
	state  State
	answer *Response
	ended  time.Time
	done   chan struct{}
}

type claim struct {
	id     string
	holder string
	at     time.Time
}

// KeyClaim names the request that holds an idempotency key, and the sidecar that
// is responsible for it.
type KeyClaim struct {
	RequestID string
	Holder    string
}

// Ledger remembers what became of the requests that one sidecar may have run, so
// that none runs twice and answers can be had again. It is not safe for
// concurrent use.
type Ledger struct {
	records map[string]*record
	byKey   map[string]claim
	kept    int
	expired time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[string]*record{}, byKey: map[string]claim{}}
}

// Begin notes that a request is about to run. A request that was marked, that has
// begun before, or whose key another request holds, must not run.
func (l *Ledger) Begin(now time.Time, key, id string) error {
	if r, ok := l.records[id]; ok {
		return errors.Wrapf(ErrMarked, "request %s is %s", id, r.state)
	}
	if key != "" {
		c, ok := l.byKey[key]
		if ok && c.id != id {
			return errors.Wrapf(ErrMarked, "request %s holds the key", c.id)
		}
		if !ok {
			l.byKey[key] = claim{id: id, at: now}
		}
	}
	if len(l.records) >= maxRecords {
		return ErrLedgerFull
	}
	l.records[id] = &record{state: StateRunning, done: make(chan struct{})}
	return nil
}

// End notes the end of a request that has begun.
func (l *Ledger) End(now time.Time, id string, state State, answer *Response) {
	r, ok := l.records[id]
	if !ok || r.state != StateRunning {
		panic("work: request " + id + " ended without running")
	}
	r.state = state
	r.ended = now
	if answer != nil && len(answer.Body) <= MaxKeptAnswer && l.kept+len(answer.Body) <= maxKeptBytes {
		r.answer = answer
		l.kept += len(answer.Body)
	}
	close(r.done)
}

// MarkNotRun makes sure that a request which has not begun never will, and returns
// what is known of it.
func (l *Ledger) MarkNotRun(now time.Time, id string) State {
	if r, ok := l.records[id]; ok {
		return r.state
	}
	done := make(chan struct{})
	close(done)
	l.records[id] = &record{state: StateNotRun, ended: now, done: done}
	return StateNotRun
}

// Lookup returns what is known of a request, with its answer if that is kept.
func (l *Ledger) Lookup(id string) (State, *Response) {
	r, ok := l.records[id]
	if !ok {
		return StateNone, nil
	}
	return r.state, r.answer
}

// Done is closed when the request has ended; nil if it is not known.
func (l *Ledger) Done(id string) <-chan struct{} {
	if r, ok := l.records[id]; ok {
		return r.done
	}
	return nil
}

// Claim gives a key to a request unless another request may have run under it. It
// returns the holding in force and whether it is the claimed one. over names a
// request that is known not to have run: its holding is replaced.
func (l *Ledger) Claim(now time.Time, key string, h KeyClaim, over string) (KeyClaim, bool) {
	c, ok := l.byKey[key]
	if ok && c.id != h.RequestID && !l.replaceable(c, over) {
		return KeyClaim{RequestID: c.id, Holder: c.holder}, false
	}
	l.byKey[key] = claim{id: h.RequestID, holder: h.Holder, at: now}
	return h, true
}

func (l *Ledger) replaceable(c claim, over string) bool {
	state, _ := l.Lookup(c.id)
	return c.id == over && (state == StateNone || state == StateNotRun)
}

// Unclaim gives a key free again after its request was not run.
func (l *Ledger) Unclaim(key, id string) {
	if c, ok := l.byKey[key]; ok && c.id == id {
		delete(l.byKey, key)
	}
}

// KeyRecord is what a ledger knows of one key, as it is handed to another ledger.
type KeyRecord struct {
	Key       string
	RequestID string
	State     State
	Answer    *Response
}

// Export returns what is known of all keys whose requests have ended.
func (l *Ledger) Export() []KeyRecord {
	var list []KeyRecord
	for key, c := range l.byKey {
		r, ok := l.records[c.id]
		if !ok {
			list = append(list, KeyRecord{Key: key, RequestID: c.id, State: StateNone})
			continue
		}
		if r.state != StateRunning {
			list = append(list, KeyRecord{Key: key, RequestID: c.id, State: r.state, Answer: r.answer})
		}
	}
	return list
}

// Import takes over what another ledger knew of a key; holder is the name of this
// ledger's sidecar. What this ledger knows itself is not replaced.
func (l *Ledger) Import(now time.Time, k KeyRecord, holder string) error {
	if len(l.records) >= maxRecords {
		return ErrLedgerFull
	}
	c, claimed := l.byKey[k.Key]
	if claimed && c.id != k.RequestID {
		return nil
	}
	l.byKey[k.Key] = claim{id: k.RequestID, holder: holder, at: now}
	if _, ok := l.records[k.RequestID]; ok || k.State == StateNone {
		return nil
	}
	l.records[k.RequestID] = &record{state: StateRunning, done: make(chan struct{})}
	l.End(now, k.RequestID, k.State, k.Answer)
	return nil
}

// Expire forgets requests that ended long ago. It looks only now and then.
func (l *Ledger) Expire(now time.Time) {
	if now.Sub(l.expired) < expireInterval {
		return
	}
	l.expired = now
	for id, r := range l.records {
		if r.state == StateRunning || now.Sub(r.ended) < keepRecord {
			continue
		}
		if r.answer != nil {
			l.kept -= len(r.answer.Body)
		}
		delete(l.records, id)
	}
	for key, c := range l.byKey {
		if now.Sub(c.at) >= keepRecord {
			delete(l.byKey, key)
		}
	}
}

// Len returns the number of requests that are remembered.
func (l *Ledger) Len() int { return len(l.records) }
