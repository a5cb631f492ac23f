package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"greengagedyke/logs"
)

func TestLinesAreJSONInOrder(t *testing.T) {
	var b bytes.Buffer
	log, flush := logs.New(&b)
	log.Info("first", "n", 1)
	log.Warn("second")
	flush()
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), b.String())
	}
	for i, want := range []string{"first", "second"} {
		var line struct{ Msg string }
		if err := json.Unmarshal([]byte(lines[i]), &line); err != nil || line.Msg != want {
			t.Errorf("line %d: %q, %v", i, lines[i], err)
		}
	}
}

// stuck is a stream that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A stream that is not read never blocks who logs.
func TestNeverBlocks(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	log, flush := logs.New(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			log.Info("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the stream")
	}
	close(s.release)
	flush()
}

// Beyond the bound lines are left out, and the next one says how many.
func TestVolumeIsBounded(t *testing.T) {
	var b bytes.Buffer
	log, flush := logs.New(&b)
	for range 5_000 {
		log.Info("line")
	}
	time.Sleep(300 * time.Millisecond)
	log.Info("after")
	flush()
	if n := strings.Count(b.String(), "\n"); n > 2_000 {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(b.String(), "omitted-lines") {
		t.Error("nothing says that lines were left out")
	}
}
