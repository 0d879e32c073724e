package member

import (
	"slices"
	"time"
)

// Change is a record, or the part of it that changed since version Base of the
// same incarnation. Base 0 means that the record is whole.
type Change struct {
	Base uint64 `json:"b,omitempty"`
	// Suspected is how long the sender has suspected the member; 0 means that
	// it does not.
	Suspected time.Duration `json:"u,omitempty"`
	Daemon
}

// changeSince returns what a peer that has (inc, version) lacks of d.
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

// apply returns the record that results from a change to old, or false when the
// change does not fit.
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

// setVersions sets the versions inside next, the owner's new record after old, and
// reports whether anything that is gossiped changed.
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

// headFields is the part of a record whose change is gossiped at once.
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
