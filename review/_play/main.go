package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is below the 120 s that a script may take.
const timeLimit = 116 * time.Second

// current is the fleet of the play.
var current *fleet

// Exit codes of a play.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name. A play returns whether the rule was broken.
var cases = map[string]func(trouble bool, record string) (broken bool, err error){
	"rate":      playRate,
	"two-stops": playTwoStops,
	"silence":   playSilence,
	"stops":     playStops,
	"uploads":   playUploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD, in the repository's root")
		os.Exit(exitNotRun)
	}
	if err := learnNames(); err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	}
	// A play that hangs or is stopped must end its processes too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		fmt.Fprintln(os.Stderr, "not run: the play was stopped or did not end within", timeLimit)
		if current != nil {
			current.close()
		}
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
