package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// defaultWait bounds the wait for a change to be in force.
	defaultWait = 30 * time.Second
	// pollInterval is the time between two rounds of questions.
	pollInterval = 250 * time.Millisecond
)

// waitFlags are the flags that wait for a change to be in force.
type waitFlags struct {
	wait    bool
	timeout time.Duration
	admins  []string
}

func (f *waitFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force at every daemon; needs --admin")
	cmd.Flags().DurationVar(&f.timeout, "wait-timeout", defaultWait, "bound on the wait")
	addAdminFlag(cmd, &f.admins)
}

// run waits for revision rev when --wait was given.
func (f *waitFlags) run(cmd *cobra.Command, rev uint64) error {
	if !f.wait {
		return nil
	}
	if len(f.admins) == 0 {
		return usageError{errors.Errorf("revision %d is accepted, but --wait needs --admin IP:PORT of a daemon", rev)}
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	client := adminClient()
	var last progress
	for {
		p := f.ask(ctx, client, rev)
		if p.String() != last.String() {
			fmt.Fprintln(cmd.ErrOrStderr(), p)
		}
		last = p
		if p.complete() {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return errors.Errorf("revision %d is accepted, but after %s only %s; see gooseberryshed status", rev, f.timeout, last)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// progress tells how far a revision has come.
type progress struct {
	revision uint64
	daemons  int
	inForce  int
	// silent counts daemons that were asked and gave no answer.
	silent int
}

// String implements fmt.Stringer.
func (p progress) String() string {
	s := fmt.Sprintf("revision %d is in force at %d of %d daemons", p.revision, p.inForce, p.daemons)
	if p.silent > 0 {
		s += fmt.Sprintf(", %d of those asked gave no answer", p.silent)
	}
	return s
}

func (p progress) complete() bool { return p.daemons > 0 && p.inForce == p.daemons && p.silent == 0 }

func (f *waitFlags) ask(ctx context.Context, client *fasthttp.Client, rev uint64) progress {
	view := askFleet(ctx, client, f.admins)
	p := progress{revision: rev, silent: len(view.failed)}
	for _, d := range view.sorted() {
		if d.State == member.StateLeaving {
			continue
		}
		p.daemons++
		if d.Revision >= rev {
			p.inForce++
		}
	}
	return p
}
