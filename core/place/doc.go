// Package place decides which member serves a statement, in which order statements wait and which are refused at once.
//
// It answers these load patterns: more work than slots (rank.go orders, forecast.go refuses), replicas that lag
// (lag.go, history.go) so that reads fall on the primary (choose.go keeps slots for what only the primary can do), and
// a database without a primary (desk.go refuses what cannot wait for the next one).
package place
