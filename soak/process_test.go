package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A process does not end after SIGTERM: the soak makes it write its goroutines to its log before it is
// killed, and reports it.
func TestOverdueStopIsExplained(t *testing.T) {
	t.Parallel()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	const script = `trap "" TERM; trap "echo goroutines; exit" QUIT; echo ready; while :; do sleep 0.05; done`
	p := &process{binary: "sh", args: []string{"-c", script}, log: log}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	logged := func(text string) bool {
		data, err := os.ReadFile(log.Name())
		return err == nil && strings.Contains(string(data), text)
	}
	for !logged("ready") {
		time.Sleep(10 * time.Millisecond)
	}
	if err := p.terminate(); err == nil {
		t.Error("the overdue stop was not reported")
	}
	if !logged("goroutines") {
		t.Error("the process was killed without a SIGQUIT before")
	}
}
