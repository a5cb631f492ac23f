package operator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/operator"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/standin/store"
)

// newStore starts a stand-in for the platform's store. It returns the store and a function that
// returns a ConfigurationStore with a new client.
func newStore(t *testing.T) (*store.Store, func() *operator.ConfigurationStore) {
	t.Helper()
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s, func() *operator.ConfigurationStore {
		c, closeClient := platform.New(slog.New(slog.DiscardHandler), addr, metrics.NewRegistry())
		t.Cleanup(closeClient)
		return operator.NewConfigurationStore(c)
	}
}

func write(t *testing.T, c *operator.ConfigurationStore, id string, expected uint64) (*service.Configuration, error) {
	t.Helper()
	cfg := &service.Configuration{WriteID: id}
	return cfg, c.Write(t.Context(), cfg, expected)
}

// If several operators write against the same revision, one write succeeds. The others get a
// conflict with the revision that was written.
func TestConcurrentWrites(t *testing.T) {
	_, client := newStore(t)
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	var wg sync.WaitGroup
	for i := range 10 {
		c := client()
		wg.Go(func() {
			_, err := write(t, c, fmt.Sprint(i), 0)
			mu.Lock()
			defer mu.Unlock()
			var conflict *platform.ConflictError
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &conflict) && conflict.Revision == 1:
				conflicts++
			default:
				t.Error("got", err, "want success or a conflict with revision 1")
			}
		})
	}
	wg.Wait()
	if accepted != 1 || conflicts != 9 {
		t.Errorf("got %d accepted writes and %d conflicts, want 1 and 9", accepted, conflicts)
	}
}

// If a write takes effect but its response is lost, it is reported as accepted and not repeated.
func TestLostAnswerIsResolved(t *testing.T) {
	s, client := newStore(t)
	s.SetFaults(store.Faults{LoseAnswers: 1})
	c := client()
	cfg, err := write(t, c, "mine", 0)
	if err != nil || cfg.Revision != 1 {
		t.Fatalf("got revision %d, %v; want revision 1", cfg.Revision, err)
	}
	if stored, err := c.Read(t.Context()); err != nil || stored.Revision != 1 || stored.WriteID != "mine" {
		t.Errorf("stored: got %+v, %v; want revision 1 with write ID \"mine\"", stored, err)
	}
}

// A write during an outage of the store fails, and does not take effect after the outage.
func TestWriteDuringOutage(t *testing.T) {
	s, client := newStore(t)
	c := client()
	s.SetFaults(store.Faults{Down: true})
	if _, err := write(t, c, "mine", 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	s.SetFaults(store.Faults{})
	if stored, err := c.Read(t.Context()); err != nil || stored.Revision != 0 {
		t.Errorf("stored: got %+v, %v; want revision 0", stored, err)
	}
}

// If the response to a write is lost and the store then fails, the write is reported as uncertain.
func TestLostAnswerBeforeOutage(t *testing.T) {
	s, client := newStore(t)
	s.SetFaults(store.Faults{LoseAnswers: 1, DownAfterLoss: true})
	if _, err := write(t, client(), "mine", 0); !errors.Is(err, platform.ErrAnswerLost) {
		t.Errorf("got %v, want ErrAnswerLost", err)
	}
}

func TestWatchReturnsNextRevision(t *testing.T) {
	_, client := newStore(t)
	c := client()
	written := make(chan error, 1)
	writer := client()
	time.AfterFunc(50*time.Millisecond, func() {
		_, err := write(t, writer, "next", 0)
		written <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for revision := range uint64(2) {
		cfg, err := c.Watch(ctx)
		if err != nil || cfg.Revision != revision {
			t.Errorf("got %+v, %v; want revision %d", cfg, err, revision)
		}
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

// A process that makes too many calls gets ErrRateLimited, and the calls do not reach the store.
func TestRateLimit(t *testing.T) {
	s, client := newStore(t)
	c := client()
	var err error
	for range 100 {
		_, err = c.Read(t.Context())
	}
	if !errors.Is(err, platform.ErrRateLimited) {
		t.Errorf("got %v, want ErrRateLimited", err)
	}
	if n := s.Calls(); n > 30 {
		t.Errorf("got %d calls at the store, want at most 30", n)
	}
}

// A configuration that is accepted after the store came back from an older copy has a higher revision
// than all before, and a write that expects a revision of the lost history conflicts.
func TestRevisionAfterRestoreIsOlder(t *testing.T) {
	s, client := newStore(t)
	c := client()
	if _, err := write(t, c, "first", 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	taken := time.Now()
	second, err := write(t, c, "second", 1)
	if err != nil {
		t.Fatal(err)
	}
	third, err := write(t, c, "third", second.Revision)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(time.Since(taken))
	stored, err := c.Read(t.Context())
	if err != nil || stored.WriteID != "first" {
		t.Fatalf("got %+v, %v; want the first configuration", stored, err)
	}
	again, err := write(t, c, "again", stored.Revision)
	if err != nil || again.Revision <= third.Revision {
		t.Fatalf("got revision %d, %v; want one above %d", again.Revision, err, third.Revision)
	}
	var conflict *platform.ConflictError
	if _, err := write(t, c, "late", second.Revision); !errors.As(err, &conflict) {
		t.Errorf("got %v for a write that expects the lost revision %d, want a conflict", err, second.Revision)
	}
}

// A write whose answer was lost may have been seen by other processes before the store came back from
// an older copy without it: its outcome is unknown.
func TestWriteLostInRestoreIsReportedAsRefused(t *testing.T) {
	s, client := newStore(t)
	c := client()
	time.Sleep(100 * time.Millisecond)
	s.SetFaults(store.Faults{LoseAnswers: 1, RestoreAfterLoss: 50 * time.Millisecond})
	if _, err := write(t, c, "mine", 0); !errors.Is(err, platform.ErrAnswerLost) {
		t.Errorf("got %v, want ErrAnswerLost", err)
	}
}

// A write whose answer was lost and that is executed only later is not reported as refused.
func TestLateWriteIsReportedAsRefused(t *testing.T) {
	s, client := newStore(t)
	c := client()
	const late = 100 * time.Millisecond
	s.SetFaults(store.Faults{LoseAnswers: 1, Late: late})
	cfg, err := write(t, c, "mine", 0)
	time.Sleep(2 * late)
	stored, errRead := c.Read(t.Context())
	if err != nil || errRead != nil || stored.WriteID != "mine" || stored.Revision != cfg.Revision {
		t.Errorf("got %v, stored %+v, %v; want the write accepted and stored once", err, stored, errRead)
	}
}

// Two processes hold different configurations that the store has lost. Whoever writes its own first,
// the later one ends up in the store, under its old revision.
func TestEarlierLostConfigurationWins(t *testing.T) {
	for _, earlierFirst := range []bool{true, false} {
		s, client := newStore(t)
		c := client()
		time.Sleep(100 * time.Millisecond)
		earlier, err := write(t, c, "earlier", 0)
		if err != nil {
			t.Fatal(err)
		}
		later, err := write(t, c, "later", earlier.Revision)
		if err != nil {
			t.Fatal(err)
		}
		s.Restore(50 * time.Millisecond)
		first, second := earlier, later
		if !earlierFirst {
			first, second = later, earlier
		}
		for _, cfg := range []*service.Configuration{first, second} {
			stored, err := c.Read(t.Context())
			if err == nil && stored.Revision < cfg.Revision {
				err = c.WriteAgain(t.Context(), cfg, stored.Revision)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if stored, err := c.Read(t.Context()); err != nil || stored.WriteID != "later" || stored.Revision != later.Revision {
			t.Errorf("earlier first %v: got %+v, %v; want the later configuration", earlierFirst, stored, err)
		}
	}
}

// A write that is sent before its process knows of the new era names the new era all the same.
func TestWriteNamesEarlierEra(t *testing.T) {
	s, client := newStore(t)
	c := client()
	first, err := write(t, c, "first", 0)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(0)
	second, err := write(t, c, "second", first.Revision)
	if err != nil || second.Revision < 1<<40 {
		t.Fatalf("got revision %d, %v; want one of era 1", second.Revision, err)
	}
	if stored, err := c.Read(t.Context()); err != nil || stored.WriteID != "second" || stored.Revision != second.Revision {
		t.Errorf("got %+v, %v; want the second configuration", stored, err)
	}
}
