// Package storepoll decides which hosts of a data centre call the store, so that
// the number of calls does not grow with the fleet for what all hosts read alike.
//
// Problem: each host needs the operators' table and a recent proof that it knows
// all of it. Calls to the store are expensive, refused ones too, and while the
// store is down, or turns some hosts away, hosts that ask for themselves make
// hundreds of calls a second.
//
// Load: hundreds of hosts a data centre; outages of the whole store or for some
// hosts; the start of all hosts at once.
//
// Algorithm: the hosts of a data centre are ranked by the bandwidth of their links
// and, where that is the same, by rendezvous hashing. The first, its readers, keep long polls at the store. All others poll the readers
// by datagram. When the proofs of the readers grow old, the hosts of the next few
// ranks, the standbys, ask the store once a turn: each one when the proofs of all
// lower ranks are older than a limit that grows with the rank, so that one of
// them usually has a new proof before the next one asks. Of all others only a few
// ask, by chance, when their own proof grows old nevertheless. A host whose
// readers have no recent proof asks the standbys and then a reader of another data
// centre.
//
// Silence: a host that does not answer is replaced at once, whatever the age of its
// proof. A standby asks the store in each turn in which no host of lower rank
// answers, and any other host in each turn in which no peer answers. Otherwise a change made
// right after the readers have failed would be read only when their last proofs had
// grown old.
//
// Changes: a host that has read a change from the store or learned it from another data
// centre, and each reader that has learned it, notifies the hosts of its data centre
// and two hosts of each other one, which fetch it from the sender. These two are the
// readers or, in place of those that do not answer, the next in rank. So a data centre
// whose readers are silent, or refused by the store, learns changes from the others.
// Hosts spread their requests to hosts of their own data centre over some milliseconds
// each, which is for the sender's processor; what its link carries is decided by package
// spread.
//
// Start: a host reads the hosts table once, which tells it the readers and the
// version of its own row, so that writing that row takes one call or, after a
// restart of the daemon alone, none. Where the whole fleet starts for the first
// time, the table is empty at first, and hosts wait until most rows are there.
//
// Writes: after a loss of power all hosts write their rows at once, more than the
// store performs in the time for which it lets them wait. Those that are refused
// return spread over the time that the store needs for the whole fleet.
//
// Trade-offs: a change reaches a host that is not a reader later than by a long
// poll of its own, by the spread of the fetches, or by one poll interval if the
// notice is lost. A change costs about two datagrams a host, and four for each pair
// of data centres in each direction, more only where hosts are silent. If the store refuses all hosts that ask, the
// others depend on another data centre.
package storepoll
