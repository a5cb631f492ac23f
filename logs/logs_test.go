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
		t.Fatalf("got %d lines, want 2: %s", len(lines), b.String())
	}
	for i, want := range []string{"first", "second"} {
		var line struct{ Msg string }
		if err := json.Unmarshal([]byte(lines[i]), &line); err != nil || line.Msg != want {
			t.Errorf("line %d: got %q, error %v, want the message %q", i, lines[i], err, want)
		}
	}
}

// blockedWriter blocks in Write until release is closed, like a pipe without a reader.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Logging must not block while the stream accepts no data.
func TestLoggingNeverBlocks(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
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
		t.Fatal("20,000 log calls did not return within 10 s")
	}
	close(s.release)
	flush()
}

// A process that stops must end even if nobody reads its log: flush must not wait for the stream
// without a bound.
func TestFlushIsBounded(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
	defer close(s.release)
	log, flush := logs.New(s)
	log.Info("line")
	done := make(chan struct{})
	go func() {
		defer close(done)
		flush()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("flush did not return within 5 s while the stream accepts no data")
	}
}

// Lines beyond the rate limit are omitted, and the next line contains their number.
func TestRateIsLimited(t *testing.T) {
	var b bytes.Buffer
	log, flush := logs.New(&b)
	for range 5_000 {
		log.Info("line")
	}
	time.Sleep(300 * time.Millisecond)
	log.Info("after")
	flush()
	if n := strings.Count(b.String(), "\n"); n > 2_000 {
		t.Errorf("got %d lines, want at most 2,000", n)
	}
	if !strings.Contains(b.String(), "omitted-lines") {
		t.Error("no line has the attribute omitted-lines")
	}
}
