// Package report computes the error-budget burn rates of routes and workspaces.
//
// Each daemon counts request outcomes in five-minute slots over six hours, in one
// series per route and per workspace, up to a maximum number of series. The command
// report burn sums the series of all daemons and computes burn rates: the fraction
// of bad outcomes divided by the fraction that the objective allows. A burn rate of
// 1 consumes the error budget exactly. Two pairs of windows are evaluated, as is
// common practice: fast (5 min and 1 h) and slow (30 min and 6 h). Both windows of a
// pair must exceed the threshold, so that neither a short spike nor a past fault
// raises an alert.
//
// A request is bad if the fleet did not return a response of a target: refusals
// because no target, limiter or path was available, unknown outcomes and truncated
// responses. Refusals caused by the caller (no key, no route, rate exceeded) are not
// bad. A rate-limit refusal is wrongful if the load that the workspace offered in
// its slot was within the configured rate and burst.
package report
