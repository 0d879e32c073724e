package daemon

// Addresses are the addresses that a daemon listens on.
type Addresses struct {
	Caller, Forward, RPC, Announce, Admin string
}

// Addresses returns the listen addresses, which are open once New has returned.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.listen.caller.Addr().String(),
		Forward:  d.listen.forward.Addr().String(),
		RPC:      d.listen.rpc.Addr().String(),
		Announce: d.listen.announce.Addr().String(),
		Admin:    d.listen.admin.Addr().String(),
	}
}
