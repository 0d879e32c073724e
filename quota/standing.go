package quota

// Standing is what the owner of a workspace's bucket can say about it. That the owner
// does not know is never told as a limit that was reached.
type Standing int

const (
	// StandingUnknown means that the owner cannot tell: it has no configuration, or an
	// older one than the host that asks.
	StandingUnknown Standing = iota
	// StandingLimited means that the owner's bucket decides.
	StandingLimited
	// StandingUnlimited means that the workspace has no limit.
	StandingUnlimited
	// StandingGone means that the owner's configuration is newer than that of the host
	// that asks and has no such workspace.
	StandingGone
)

// OwnerConfig is what an owner's configuration says about a workspace.
type OwnerConfig struct {
	// Loaded is set if the owner has a configuration, and Revision is its revision.
	Loaded   bool
	Revision uint64
	// Listed is set if the workspace exists, and Limited if it has a rate.
	Listed, Limited bool
}

// Standing returns what the owner can tell a host that asks, whose configuration has
// the revision asker, or 0 if the host is of a version that does not state it.
func (c OwnerConfig) Standing(asker uint64) Standing {
	older := c.Revision < asker
	switch {
	case !c.Loaded, older && !c.Limited:
		return StandingUnknown
	case c.Listed && c.Limited:
		return StandingLimited
	case c.Listed:
		return StandingUnlimited
	case asker != 0 && c.Revision > asker:
		return StandingGone
	}
	return StandingUnknown
}
