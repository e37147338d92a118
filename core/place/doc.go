// Package place decides which member serves a statement, in which order statements wait and which are refused at once.
//
// It answers these load patterns: more work than slots (ticket.go orders, admit.go and forecast.go refuse, demand.go says whether
// late work still finds a slot), replicas that lag (lag.go, history.go) so that reads fall on the primary (choose.go keeps slots for
// what only the primary can do), a member that fails part of its requests (health.go), and a database without a primary (desk.go
// refuses what cannot wait for the next one).
package place
