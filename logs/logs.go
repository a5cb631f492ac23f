// Package logs provides a structured logger that never blocks the goroutines that log: lines beyond a
// rate limit, or beyond the capacity of the write queue, are omitted and counted.
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
	// linesPerSecond and lineBurst limit the lines that one process logs.
	linesPerSecond = 500
	lineBurst      = 1000
	// maxQueuedLines is the capacity of the write queue in lines.
	maxQueuedLines = 2048
	// flushInterval is how long lines are collected into one write.
	flushInterval = 100 * time.Millisecond
	// flushTimeout is how long the flush at the end of a process waits for a stream that accepts no
	// data. The lines that are still queued are then lost.
	flushTimeout = time.Second
)

// limitHandler limits the rate of the lines that it passes to the wrapped handler.
type limitHandler struct {
	slog.Handler
	limit *rate.Limiter
	// omitted counts the lines omitted since the last logged line, also those that asyncWriter
	// omits.
	omitted *atomic.Int64
}

// Handle implements slog.Handler.
func (h *limitHandler) Handle(ctx context.Context, r slog.Record) error {
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
func (h *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{h.Handler.WithAttrs(attrs), h.limit, h.omitted}
}

// WithGroup implements slog.Handler.
func (h *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{h.Handler.WithGroup(name), h.limit, h.omitted}
}

// asyncWriter queues lines for a goroutine that writes them to a stream.
type asyncWriter struct {
	lines chan []byte
	// omitted is the counter of limitHandler.
	omitted *atomic.Int64
}

// Write implements io.Writer. It queues a copy of b, or omits it if the queue is full.
func (a *asyncWriter) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case a.lines <- line:
	default:
		a.omitted.Add(1)
	}
	return len(b), nil
}

// New returns a logger that writes JSON lines to w, and a function that writes the queued lines
// and stops the writer goroutine; it returns after flushTimeout at the latest. If lines were omitted,
// the next line has their number as the attribute "omitted-lines".
func New(w io.Writer) (*slog.Logger, func()) {
	var omitted atomic.Int64
	writer := &asyncWriter{lines: make(chan []byte, maxQueuedLines), omitted: &omitted}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer.run(w, stop)
	}()
	h := &limitHandler{
		Handler: slog.NewJSONHandler(writer, nil),
		limit:   rate.NewLimiter(linesPerSecond, lineBurst),
		omitted: &omitted,
	}
	return slog.New(h), func() {
		close(stop)
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
}

// run writes queued lines to w until stop is closed. Lines that are queued within flushInterval
// are combined into one write.
func (a *asyncWriter) run(w io.Writer, stop <-chan struct{}) {
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
			select {
			case <-time.After(flushInterval):
			case <-stop:
			}
		case <-stop:
			a.write(w, a.drain(batch))
			return
		}
		batch = a.drain(batch)
		a.write(w, batch)
		batch = batch[:0]
	}
}

// write writes b to w. It ignores errors, as there is nowhere else to report them.
func (a *asyncWriter) write(w io.Writer, b []byte) {
	_, _ = w.Write(b)
}

// drain appends all queued lines to batch without waiting for more.
func (a *asyncWriter) drain(batch []byte) []byte {
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
