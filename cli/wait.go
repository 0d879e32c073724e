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
	// defaultWait is the default time limit for a change to be in force.
	defaultWait = 30 * time.Second
	// pollInterval is the time between two queries of the fleet's status.
	pollInterval = 250 * time.Millisecond
	// unreachableGrace is how long the wait includes daemons that do not respond.
	// A daemon that is partitioned from the fleet stops serving before this time.
	unreachableGrace = 8 * time.Second
)

// waitFlags are the flags that control waiting for a change to be in force.
type waitFlags struct {
	wait    bool
	timeout time.Duration
	admins  []string
	// grace is unreachableGrace, except in tests.
	grace time.Duration
}

func (f *waitFlags) add(cmd *cobra.Command) {
	f.grace = unreachableGrace
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force at every daemon that responds; requires --admin")
	cmd.Flags().DurationVar(&f.timeout, "wait-timeout", defaultWait, "maximum time to wait")
	addAdminFlag(cmd, &f.admins)
}

// check rejects --wait without --admin before the change is applied.
func (f *waitFlags) check() error {
	if f.wait && len(f.admins) == 0 {
		return usageError{errors.New("--wait requires --admin IP:PORT of a daemon; nothing was applied")}
	}
	return nil
}

// run waits until revision rev is in force if --wait is set.
func (f *waitFlags) run(cmd *cobra.Command, rev uint64) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	started := time.Now()
	a := admin.New()
	var last rolloutProgress
	for {
		p := measureRollout(a.Fleet(ctx, f.admins), rev)
		if p != last {
			fmt.Fprintln(cmd.ErrOrStderr(), p)
		}
		last = p
		if p.done(time.Since(started) >= f.grace) {
			return nil
		}
		if !pause.For(ctx, pollInterval) {
			return errors.Errorf("revision %d is accepted, but after %s it %s; see gooseberryshed status", rev, f.timeout, last.summary())
		}
	}
}

// rolloutProgress describes how many daemons have a revision in force.
type rolloutProgress struct {
	revision uint64
	// responded counts the serving daemons that responded, inForce those of them
	// that have the revision in force, unreachable the daemons that did not
	// respond.
	responded, inForce, unreachable int
}

func measureRollout(f admin.Fleet, rev uint64) rolloutProgress {
	p := rolloutProgress{revision: rev, unreachable: len(f.Unresponsive())}
	for _, h := range f {
		if h.Err != nil || h.Status.State != string(member.StateServing) {
			continue
		}
		p.responded++
		if h.Status.Revision >= rev {
			p.inForce++
		}
	}
	return p
}

func (p rolloutProgress) summary() string {
	s := fmt.Sprintf("is in force at %d of %d daemons", p.inForce, p.responded)
	if p.unreachable > 0 {
		s += fmt.Sprintf(", and %d did not respond", p.unreachable)
	}
	return s
}

// String implements fmt.Stringer.
func (p rolloutProgress) String() string {
	return fmt.Sprintf("revision %d %s", p.revision, p.summary())
}

// done reports whether the wait is over. Unreachable daemons are ignored once the
// grace period has elapsed.
func (p rolloutProgress) done(graceElapsed bool) bool {
	return p.responded > 0 && p.inForce == p.responded && (p.unreachable == 0 || graceElapsed)
}
