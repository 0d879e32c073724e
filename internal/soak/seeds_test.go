package soak

// regressionSeeds are run in CI: one ordinary seed, and each seed that has failed,
// with the cause of the failure: in 845 the two owners of a rate lose each other, and
// no third data centre could relay for them; in 914 they are in one data centre, and the
// second loses the host that should relay too; in 920 the owner freezes and is cut off
// by turns. 2001 restores the store from older copies, 10002 breaks answers too,
// 20010 forgot a departure that it had acknowledged, 50001 empties the list of
// workspaces, and 60001 has a large document and slow links.
var regressionSeeds = []uint64{1, 845, 914, 920, 2001, 10002, 20010, 50001, 60001}
