package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a play.
const (
	held   = 0
	broken = 1
	failed = 2
)

var plays = map[string]func(f *fleet, trouble bool) (bool, error){
	"ids":     playIDs,
	"owners":  playOwners,
	"readers": playReaders,
	"revoke":  playRevoke,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return failed
	}
	defer f.close()
	ended := make(chan int, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		isBroken, err := plays[name](f, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.note("the case could not run: %v", err)
			ended <- failed
		case isBroken:
			rec.note("the rule is broken")
			ended <- broken
		default:
			rec.note("the rule held")
			ended <- held
		}
	}()
	select {
	case status := <-ended:
		return status
	case s := <-signals:
		rec.note("the case was stopped: %v", s)
		return failed
	}
}
