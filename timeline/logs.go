package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Line is a line of a collected log.
type Line struct {
	Time time.Time
	// Process is where the line comes from: a name before it, or the file's.
	Process string
	// Text is the line as it was written.
	Text string
}

// Lines are lines in the order of their times.
type Lines []Line

// ReadLog returns the lines of a process's log that contain all of the words. What
// stands before the JSON of a line, such as the name of a VM, is kept as the process.
// Lines without JSON are left out and counted.
func ReadLog(r io.Reader, process string, words []string) (lines Lines, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			skipped++
			continue
		}
		var head struct {
			Time time.Time `json:"time"`
		}
		text = "{" + text
		if err := json.Unmarshal([]byte(text), &head); err != nil {
			skipped++
			continue
		}
		if !containsAll(scanner.Text(), words) {
			continue
		}
		line := Line{Time: head.Time, Process: process, Text: text}
		if prefix = strings.TrimSpace(prefix); prefix != "" {
			line.Process = prefix
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "timeline.ReadLog")
}

func containsAll(s string, words []string) bool {
	for _, w := range words {
		if !strings.Contains(s, w) {
			return false
		}
	}
	return true
}

// Sort orders the lines of several processes by time.
func (l Lines) Sort() {
	slices.SortStableFunc(l, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
}
