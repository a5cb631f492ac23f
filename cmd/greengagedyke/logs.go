package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"greengagedyke/timeline"
)

const (
	logsShort = "Merge the logs of several processes by time"
	logsUsage = `Prints the lines of log files in order of time. Each file contains the JSON
lines of one process, or of several processes with the name of the process
before the JSON.

--about selects the lines that contain a text, such as a caller's address
100.64.0.7:40001. If it is repeated, a line must contain all the texts.`
)

// logsCommand merges the log files of several processes by time.
type logsCommand struct {
	About []string `long:"about" value-name:"TEXT" description:"print only lines that contain this text; may be repeated"`
	Args  struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logsCommand) Execute([]string) error {
	var all timeline.Lines
	skipped := 0
	for _, file := range c.Args.Files {
		lines, n, err := readLog(string(file), c.About)
		if err != nil {
			return err
		}
		all = append(all, lines...)
		skipped += n
	}
	all.Sort()
	for _, l := range all {
		fmt.Printf("%s %s %s\n", l.Time.UTC().Format("15:04:05.000000"), l.Process, l.Text)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are no log lines\n", skipped)
	}
	return nil
}

// readLog returns the log lines of a file that contain every text in about, and the number of
// lines skipped because they hold no JSON.
func readLog(file string, about []string) (timeline.Lines, int, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "logs")
	}
	defer f.Close()
	return timeline.ReadLog(f, filepath.Base(file), about)
}
