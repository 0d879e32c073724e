package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/admin"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// defaultWait bounds the wait for a change to be in force.
	defaultWait = 30 * time.Second
	// pollInterval is the time between two rounds of questions.
	pollInterval = 250 * time.Millisecond
	// silenceGrace is how long the wait goes on for daemons without an answer.
	// A daemon that is cut off from the fleet stops serving sooner.
	silenceGrace = 8 * time.Second
)

// waitFlags are the flags that wait for a change to be in force.
type waitFlags struct {
	wait    bool
	timeout time.Duration
	admins  []string
	// grace replaces silenceGrace in tests.
	grace time.Duration
}

func (f *waitFlags) add(cmd *cobra.Command) {
	f.grace = silenceGrace
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force at every daemon that answers; needs --admin")
	cmd.Flags().DurationVar(&f.timeout, "wait-timeout", defaultWait, "bound on the wait")
	addAdminFlag(cmd, &f.admins)
}

// check refuses --wait without --admin before anything is done.
func (f *waitFlags) check() error {
	if f.wait && len(f.admins) == 0 {
		return usageError{errors.New("--wait needs --admin IP:PORT of a daemon; nothing was done")}
	}
	return nil
}

// run waits for revision rev when --wait was given.
func (f *waitFlags) run(cmd *cobra.Command, rev uint64) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	started := time.Now()
	a := admin.New()
	var last progress
	for {
		p := measure(a.Fleet(ctx, f.admins), rev)
		if p != last {
			fmt.Fprintln(cmd.ErrOrStderr(), p)
		}
		last = p
		if p.complete(time.Since(started) >= f.grace) {
			return nil
		}
		if !pause.For(ctx, pollInterval) {
			return errors.Errorf("revision %d is accepted, but after %s it %s; see gooseberryshed status", rev, f.timeout, last.reach())
		}
	}
}

// progress tells how far a revision has come.
type progress struct {
	revision uint64
	// answered counts the daemons that serve and answered, inForce those of
	// them that have the revision, silent those that gave no answer.
	answered, inForce, silent int
}

func measure(f admin.Fleet, rev uint64) progress {
	p := progress{revision: rev, silent: len(f.Unresponsive())}
	for _, h := range f {
		if h.Err != nil || h.Status.State != string(member.StateServing) {
			continue
		}
		p.answered++
		if h.Status.Revision >= rev {
			p.inForce++
		}
	}
	return p
}

func (p progress) reach() string {
	s := fmt.Sprintf("is in force at %d of %d daemons", p.inForce, p.answered)
	if p.silent > 0 {
		s += fmt.Sprintf(", and %d gave no answer", p.silent)
	}
	return s
}

// String implements fmt.Stringer.
func (p progress) String() string { return fmt.Sprintf("revision %d %s", p.revision, p.reach()) }

// complete reports the end of the wait; graceOver allows for silent daemons.
func (p progress) complete(graceOver bool) bool {
	return p.answered > 0 && p.inForce == p.answered && (p.silent == 0 || graceOver)
}
