// Command review-2 plays the cases of the second review. Each case starts the project's program as separate processes,
// plays clients, executors, discovery and the platform around it, and says whether the rule held.
//
//	review-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out. It has to be started from the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// longestRun ends a case that hangs; a case may take 120 s.
const longestRun = 112 * time.Second

var cases = map[string]func(*play){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNoRun)
	}
	p, err := newPlay(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(exitNoRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			p.logf("the script was ended from outside")
		case <-time.After(longestRun):
			p.logf("the case takes too long")
		}
		p.exit(exitNoRun)
	}()
	cases[os.Args[1]](p)
	p.exit(exitHeld)
}
