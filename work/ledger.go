package work

import (
	"time"

	"github.com/pkg/errors"
)

// State is what a ledger records of a request.
type State uint8

const (
	// StateNone means that the ledger has no record of the request.
	StateNone State = iota
	// StateNotRun means that the request was not run and must not be run.
	StateNotRun
	// StateRunning means that an upstream may be running the request.
	StateRunning
	// StateAnswered means that an upstream has answered the request.
	StateAnswered
	// StateUnknown means that the request was started and its response will not arrive.
	StateUnknown
)

var stateNames = [...]string{"none", "not-run", "running", "answered", "unknown"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state called name. Any other name gives StateUnknown, after which no
// sidecar runs the request again.
func ParseState(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return StateUnknown
}

const (
	// recordTTL is how long a record is kept after the request ended, and a claim after it was made.
	recordTTL = 10 * time.Minute
	// maxRecords is the number of records at which Begin and Import refuse further requests.
	maxRecords = 1 << 17
	// expireInterval is the minimum time between two scans for expired records.
	expireInterval = 5 * time.Second
	// MaxRecordedBody is the size in bytes of the largest response body that is recorded.
	MaxRecordedBody = 64 << 10
	// maxRecordedBytes is the limit in bytes of all recorded response bodies together.
	maxRecordedBytes = 16 << 20
)

// Errors of a ledger.
var (
	// ErrMarked means that the request must not run, for one of three reasons: MarkNotRun recorded
	// it as not run, it has already begun, or another request has claimed its key.
	ErrMarked = errors.New("work: the request was marked as never to run")
	// ErrLedgerFull means that the ledger holds maxRecords records.
	ErrLedgerFull = errors.New("work: too many requests are remembered")
)

// record is the state of one request.
type record struct {
	state    State
	response *Response     // nil if there is none or it was too large
	endedAt  time.Time     // zero while running
	done     chan struct{} // closed when the request has ended
}

// claim is what the ledger stores for a claimed key.
type claim struct {
	requestID string
	holder    string // KeyClaim.Holder; empty if the claim was made by Begin
	claimedAt time.Time
}

// KeyClaim is the claim of a request to an idempotency key, under which no other request may run.
type KeyClaim struct {
	RequestID string
	// Holder is the sidecar process that received the request from its caller and records its
	// outcome, as IDENTITY@INCARNATION.
	Holder string
}

// Ledger records requests that must run at most once and their responses, so that a repeat gets the
// recorded response instead of a second run. It also stores claims of idempotency keys. It is not
// safe for concurrent use.
type Ledger struct {
	records     map[string]*record
	claims      map[string]claim // by key
	bodyBytes   int              // total size of the recorded bodies
	lastExpired time.Time        // time of the last scan for expired records
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[string]*record{}, claims: map[string]claim{}}
}

// Begin claims the key of a request, unless the key is empty, and records that the request is about
// to run. If Begin returns an error, ErrMarked or ErrLedgerFull, the request must not run. After
// ErrLedgerFull the request still has the claim to its key.
func (l *Ledger) Begin(now time.Time, key, id string) error {
	if r, ok := l.records[id]; ok {
		return errors.Wrapf(ErrMarked, "request %s is %s", id, r.state)
	}
	if key != "" {
		c, ok := l.claims[key]
		if ok && c.requestID != id {
			return errors.Wrapf(ErrMarked, "request %s holds the key", c.requestID)
		}
		if !ok {
			l.claims[key] = claim{requestID: id, claimedAt: now}
		}
	}
	if len(l.records) >= maxRecords {
		return ErrLedgerFull
	}
	l.records[id] = &record{state: StateRunning, done: make(chan struct{})}
	return nil
}

// End records the final state of a request that has begun, and its response unless that is nil or
// too large. It panics if the request is not running.
func (l *Ledger) End(now time.Time, id string, state State, response *Response) {
	r, ok := l.records[id]
	if !ok || r.state != StateRunning {
		panic("work: request " + id + " ended without running")
	}
	r.state = state
	r.endedAt = now
	if response != nil && len(response.Body) <= MaxRecordedBody && l.bodyBytes+len(response.Body) <= maxRecordedBytes {
		r.response = response
		l.bodyBytes += len(response.Body)
	}
	close(r.done)
}

// MarkNotRun records a request as not run if it has no record yet, so that Begin refuses it. It
// returns the recorded state, which is another one if the request has already begun.
func (l *Ledger) MarkNotRun(now time.Time, id string) State {
	if r, ok := l.records[id]; ok {
		return r.state
	}
	done := make(chan struct{})
	close(done)
	l.records[id] = &record{state: StateNotRun, endedAt: now, done: done}
	return StateNotRun
}

// Lookup returns the state of a request and its response, nil if none is recorded.
func (l *Ledger) Lookup(id string) (State, *Response) {
	r, ok := l.records[id]
	if !ok {
		return StateNone, nil
	}
	return r.state, r.response
}

// Done returns a channel that is closed when the request has ended, nil if it has no record.
func (l *Ledger) Done(id string) <-chan struct{} {
	if r, ok := l.records[id]; ok {
		return r.done
	}
	return nil
}

// Claim claims a key for a request unless another request has claimed it. It returns the claim in
// force and whether that is the wanted one. replaces is the ID of a request that was found not to
// have run: its claim is overwritten unless this ledger records that the request has begun.
func (l *Ledger) Claim(now time.Time, key string, wanted KeyClaim, replaces string) (KeyClaim, bool) {
	c, ok := l.claims[key]
	if ok && c.requestID != wanted.RequestID && !l.replaceable(c, replaces) {
		return KeyClaim{RequestID: c.requestID, Holder: c.holder}, false
	}
	l.claims[key] = claim{requestID: wanted.RequestID, holder: wanted.Holder, claimedAt: now}
	return wanted, true
}

// replaceable reports whether c may be overwritten: its request has the ID replaces and has not
// begun here.
func (l *Ledger) replaceable(c claim, replaces string) bool {
	state, _ := l.Lookup(c.requestID)
	return c.requestID == replaces && (state == StateNone || state == StateNotRun)
}

// Unclaim removes the claim of a request that was not run, if that request holds the key.
func (l *Ledger) Unclaim(key, id string) {
	if c, ok := l.claims[key]; ok && c.requestID == id {
		delete(l.claims, key)
	}
}

// KeyRecord is the claim of a key and the state of its request, as one ledger passes it to another.
type KeyRecord struct {
	Key       string
	RequestID string
	State     State     // StateNone if the exporting ledger has no record of the request
	Response  *Response // nil if none is recorded
}

// Export returns the records of all claimed keys except those whose requests are running.
func (l *Ledger) Export() []KeyRecord {
	var list []KeyRecord
	for key, c := range l.claims {
		r, ok := l.records[c.requestID]
		if !ok {
			list = append(list, KeyRecord{Key: key, RequestID: c.requestID, State: StateNone})
			continue
		}
		if r.state != StateRunning {
			list = append(list, KeyRecord{Key: key, RequestID: c.requestID, State: r.state, Response: r.response})
		}
	}
	return list
}

// Import adds a claim and the state of its request from another ledger. holder is the sidecar of
// this ledger, as in KeyClaim. Import changes nothing if another request has claimed the key here,
// and only the claim if this ledger has a record of the request. The error is ErrLedgerFull.
func (l *Ledger) Import(now time.Time, r KeyRecord, holder string) error {
	if len(l.records) >= maxRecords {
		return ErrLedgerFull
	}
	c, claimed := l.claims[r.Key]
	if claimed && c.requestID != r.RequestID {
		return nil
	}
	l.claims[r.Key] = claim{requestID: r.RequestID, holder: holder, claimedAt: now}
	if _, ok := l.records[r.RequestID]; ok || r.State == StateNone {
		return nil
	}
	l.records[r.RequestID] = &record{state: StateRunning, done: make(chan struct{})}
	l.End(now, r.RequestID, r.State, r.Response)
	return nil
}

// Expire removes records of requests that ended at least recordTTL ago, and claims that are at
// least that old. It does nothing if the last scan was less than expireInterval ago.
func (l *Ledger) Expire(now time.Time) {
	if now.Sub(l.lastExpired) < expireInterval {
		return
	}
	l.lastExpired = now
	for id, r := range l.records {
		if r.state == StateRunning || now.Sub(r.endedAt) < recordTTL {
			continue
		}
		if r.response != nil {
			l.bodyBytes -= len(r.response.Body)
		}
		delete(l.records, id)
	}
	for key, c := range l.claims {
		if now.Sub(c.claimedAt) >= recordTTL {
			delete(l.claims, key)
		}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }
