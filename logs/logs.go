// Package logs writes structured logs to a stream without ever blocking who logs:
// lines beyond the bounds are left out and counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound what one process writes.
	linesPerSecond = 500
	lineBurst      = 1000
	// queuedLines bounds the lines that wait for the writer.
	queuedLines = 2048
	// flushInterval is how long lines may wait to be written together.
	flushInterval = 100 * time.Millisecond
)

// handler bounds the lines that reach the JSON handler behind it.
type handler struct {
	slog.Handler
	limit   *rate.Limiter
	omitted *atomic.Int64
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limit.Allow() {
		h.omitted.Add(1)
		return nil
	}
	if n := h.omitted.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("omitted-lines", n))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.limit, h.omitted}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.limit, h.omitted}
}

// queue hands lines to the goroutine that writes them.
type queue struct {
	lines   chan []byte
	omitted *atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (q *queue) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case q.lines <- line:
	default:
		q.omitted.Add(1)
	}
	return len(b), nil
}

// New returns a logger that writes JSON to w, and a function that writes what waits
// and ends the writer.
func New(w io.Writer) (*slog.Logger, func()) {
	var omitted atomic.Int64
	q := &queue{lines: make(chan []byte, queuedLines), omitted: &omitted}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.run(w, stop)
	}()
	h := &handler{
		Handler: slog.NewJSONHandler(q, nil),
		limit:   rate.NewLimiter(linesPerSecond, lineBurst),
		omitted: &omitted,
	}
	return slog.New(h), func() {
		close(stop)
		<-done
	}
}

// run writes lines until stop is closed. Lines that come close together are written
// together.
func (q *queue) run(w io.Writer, stop <-chan struct{}) {
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			select {
			case <-time.After(flushInterval):
			case <-stop:
			}
		case <-stop:
			q.write(w, q.drain(batch))
			return
		}
		batch = q.drain(batch)
		q.write(w, batch)
		batch = batch[:0]
	}
}

// write drops the lines if the stream fails: there is nowhere else to say so.
func (q *queue) write(w io.Writer, b []byte) {
	_, _ = w.Write(b)
}

func (q *queue) drain(batch []byte) []byte {
	for {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
