// Package report computes the service-level burn of routes and workspaces.
//
// Each daemon counts outcomes in slots of five minutes over six hours, one
// series per route and per workspace, bounded in number. The operators' command
// sums the series of all daemons and computes burn rates: the share of bad
// outcomes divided by the share that the objective allows. A burn of 1 spends
// the allowance exactly. Two pairs of windows are judged, as is usual: a fast
// one (5 min and 1 h) and a slow one (30 min and 6 h); both windows of a pair
// must be over its threshold, so that neither a blip nor an old fault alerts.
//
// A request counts as bad when the fleet gave no answer of a target: refusals
// for lack of a target, a limiter or a path, unknown outcomes and truncated
// answers. Refusals that are the caller's own doing (no key, no route, over its
// rate) do not count as bad. A refusal for exceeding the rate counts as
// wrongful when the workspace's offered load over the window was within its
// rate and burst.
package report
