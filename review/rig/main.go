// Command rig runs those cases of the review that cannot be put as a day of the bench. It starts the
// project's programs as processes between stand-ins, all on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 110 * time.Second
)

// cases holds the cases by name. A case returns the number of times that the rule was broken.
var cases = map[string]func(ctx context.Context, s *site, t trouble) (int, error){
	"foreign-heartbeat": foreignHeartbeat,
	"clock-step":        clockStep,
	"late-heartbeat":    lateHeartbeat,
	"port-used-again":   portUsedAgain,
}

// trouble says which disruptions a case has.
type trouble uint8

const (
	// troubleAll is the case itself.
	troubleAll trouble = iota
	// troublePlanned leaves out the disruption that the case is about, and keeps the planned restart (and in
	// lateHeartbeat the crash) beside it. It is the same as troubleNone in cases without one.
	troublePlanned
	// troubleNone leaves out all disruptions.
	troubleNone
)

// troubleOf returns the meaning of the environment variable TROUBLE: 0, planned, or anything else.
func troubleOf(value string) trouble {
	switch value {
	case "0":
		return troubleNone
	case "planned":
		return troublePlanned
	}
	return troubleAll
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case that the first argument names and records it in the folder that the second names.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	t := troubleOf(os.Getenv("TROUBLE"))
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer r.file.Close()
	r.write("case %s, TROUBLE=%q", args[0], os.Getenv("TROUBLE"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	broken, err := runCase(ctx, r, cases[args[0]], t)
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.write("the rule was broken %d times", broken)
		return exitBroken
	}
	r.write("the rule held")
	return exitHeld
}

// runCase runs a case on a new site.
func runCase(ctx context.Context, r *record, c func(context.Context, *site, trouble) (int, error), t trouble) (int, error) {
	s, err := newSite(r)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return 0, err
	}
	broken, err := c(ctx, s, t)
	if err == nil {
		err = ctx.Err() // an interrupted case has shown nothing
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(s.dir))
	}
	return broken, err
}

// record is the file that lists what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

// write adds a line with the time since the start.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
