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

// maxLineLen is the longest log line in bytes that ReadLog accepts.
const maxLineLen = 1 << 20

// Line is one JSON line of a process's log.
type Line struct {
	Time time.Time
	// Process names the process that wrote the line.
	Process string
	// Text is the JSON object, unchanged.
	Text string
}

// Lines are the lines of one or more logs.
type Lines []Line

// ReadLog returns the lines of a log that contain all of the words. The Process of a line is the text
// before its JSON object, such as the name of a VM, or process if there is none. Lines without a valid
// JSON object are left out; skipped is their number.
func ReadLog(r io.Reader, process string, words []string) (lines Lines, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineLen)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			skipped++
			continue
		}
		var header struct {
			Time time.Time `json:"time"`
		}
		text = "{" + text
		if err := json.Unmarshal([]byte(text), &header); err != nil {
			skipped++
			continue
		}
		if !containsAll(scanner.Text(), words) {
			continue
		}
		line := Line{Time: header.Time, Process: process, Text: text}
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

// Sort orders lines by time, and lines of the same time by process.
func (l Lines) Sort() {
	slices.SortStableFunc(l, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
}
