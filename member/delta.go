package member

import (
	"slices"
	"time"
)

// Change is a full record, or the delta since version Base of the same
// incarnation. Base 0 marks a full record.
type Change struct {
	Base uint64 `json:"b,omitempty"`
	// SuspicionAge is the age of the sender's suspicion of the member; 0 means no
	// suspicion.
	SuspicionAge time.Duration `json:"u,omitempty"`
	Daemon
}

// changeSince returns the delta that brings a peer holding (inc, version) up to
// d, or the full record if no delta can be computed.
func changeSince(d Daemon, inc, version uint64) Change {
	if inc != d.Incarnation || version < d.FullVersion || version == 0 {
		return Change{Daemon: d}
	}
	c := Change{Base: version, Daemon: d}
	if version >= d.HeadVersion {
		c.Daemon = Daemon{Host: d.Host, Incarnation: d.Incarnation, Version: d.Version}
	}
	c.Targets = nil
	for _, t := range d.Targets {
		if t.Version > version {
			c.Targets = append(c.Targets, t)
		}
	}
	return c
}

// apply returns the result of applying the change to old. It returns false if
// the change is based on another incarnation or on a version newer than old.
func (c Change) apply(old Daemon) (Daemon, bool) {
	if c.Base == 0 {
		return c.Daemon, true
	}
	if old.Incarnation != c.Incarnation || old.Version < c.Base {
		return old, false
	}
	next := c.Daemon
	if c.State == "" {
		next = old
		next.Version = c.Version
	}
	next.Targets = mergeTargets(old.Targets, c.Targets)
	return next, true
}

func mergeTargets(old, changed []Target) []Target {
	out := slices.Clone(old)
	for _, t := range changed {
		i := slices.IndexFunc(out, func(o Target) bool { return o.ID == t.ID })
		if i < 0 {
			out = append(out, t)
			continue
		}
		out[i] = t
	}
	return out
}

// setVersions assigns the versions of next, which replaces the owner's record
// old, and reports whether any gossiped field changed.
func setVersions(old Daemon, next *Daemon) bool {
	version := old.Version + 1
	changed := false
	if headOf(old) != headOf(*next) {
		next.HeadVersion = version
		changed = true
	}
	for i := range next.Targets {
		if setTargetVersion(old, &next.Targets[i], version) {
			changed = true
		}
	}
	if anyTargetRemoved(old.Targets, next.Targets) {
		next.FullVersion = version
		changed = true
	}
	if changed {
		next.Version = version
	}
	return changed
}

// headFields are the fields other than Targets whose changes raise the version.
type headFields struct {
	dataCentre, forward, rpc, caller, admin string
	state                                   State
}

func headOf(d Daemon) headFields {
	return headFields{d.DataCentre, d.ForwardAddr, d.RPCAddr, d.CallerAddr, d.AdminAddr, d.State}
}

func setTargetVersion(old Daemon, t *Target, version uint64) bool {
	for _, o := range old.Targets {
		if o.ID != t.ID {
			continue
		}
		t.Version = o.Version
		if *t == o {
			return false
		}
	}
	t.Version = version
	return true
}

func anyTargetRemoved(old, next []Target) bool {
	for _, o := range old {
		kept := slices.ContainsFunc(next, func(t Target) bool { return t.ID == o.ID })
		if !kept {
			return true
		}
	}
	return false
}
