// Command rig2 has the stand-ins and the drivers of the cases of the second review.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig2 backend|confirmed|late|named ...")
		os.Exit(exitNotRun)
	}
	var err error
	broken := false
	endOnSignal()
	switch os.Args[1] {
	case "backend":
		err = runBackend(os.Args[2:])
	case "confirmed":
		broken, err = runConfirmed()
	case "late":
		broken, err = runLate()
	case "named":
		broken, err = runNamed()
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig2:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
}
