package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	argsOfPlays = 3
)

// plays are the cases by name. Each returns an exit status.
var plays = map[string]func(r *record) int{
	"poison":  playPoison,
	"forgets": playPoisonAfterRestarts,
	"signoff": playSignOff,
	"leavers": playLeavers,
	"born":    playBorn,
}

func main() {
	if len(os.Args) != argsOfPlays || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-play-2 CASE FOLDER")
		os.Exit(exitCannot)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	os.Exit(play(r, plays[os.Args[1]]))
}

// cannotRun ends a play that cannot go on.
type cannotRun struct{ why string }

// play runs a case and closes its record. Everything that the case has started is stopped
// by its own deferred calls.
func play(r *record, f func(*record) int) (status int) {
	defer r.close()
	defer func() {
		if c, ok := recover().(cannotRun); ok {
			r.note("the case could not run: %s", c.why)
			status = exitCannot
		}
	}()
	r.note("disruption: %t", trouble())
	status = f(r)
	r.note("exit status %d", status)
	return status
}

// trouble reports whether the disruption is wanted.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// must ends the play if a step of its preparation has failed.
func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}
