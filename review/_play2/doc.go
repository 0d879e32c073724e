// Command review-play-2 runs the scripts of the second review. It starts the daemons as
// separate processes with the command of the deploy file. The platform's store, the targets
// and the callers are stand-ins in this process: the store and the callers are the project's
// own (package platform/standin), the targets are small new ones that speak the same pages.
//
// Usage: review-play-2 CASE FOLDER, in the root of the repository. TROUBLE=0 leaves the
// disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main
