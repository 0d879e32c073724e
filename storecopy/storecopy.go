package storecopy

import "time"

// How long a host's former knowledge outweighs the copy.
const (
	// HostsRetention applies to rows of hosts. A host that lives writes its row within
	// about two seconds after the store's return.
	HostsRetention = 4 * time.Second
	// EvacuationRetention applies to evacuations, which operators write again. It is
	// longer than that of hosts, because a request in an evacuated data centre breaks a
	// promise and refusing it costs only capacity.
	EvacuationRetention = 10 * time.Second
)

// Host is what is known of a host's row.
type Host struct {
	// Listed is set if the row exists, and Departed if its target has left.
	Listed, Departed bool
	// Target identifies the target.
	Target string
}

// KeepsHost reports whether the former knowledge of a host's row outweighs the copy.
func KeepsHost(known, copied Host) bool {
	if known.Listed != copied.Listed {
		return true
	}
	return known.Departed && !copied.Departed && known.Target == copied.Target
}

// KeepsEvacuation reports whether the former knowledge of an evacuation outweighs the
// copy. One that only the copy has stays in force until the operators end it again.
func KeepsEvacuation(known, copied bool) bool { return known && !copied }
