// Package audit records histories of concurrent requests and checks them for lost writes, doubled writes, false
// refusals and stale reads.
//
// Three kinds of checks complement each other. Check compares the recorded outcomes with the state that the databases
// hold at the end, and every read with what its own session had written or read before. Linearizable runs a register
// model for each row; it includes only reads that a primary served and reads of a row's only writer, because other reads
// may return data up to the contract's maxReadAge old, and such histories are not linearizable.
// AtMostOnce runs a model for each request key.
//
// An operation whose outcome is unknown may take effect at any moment from its start to the end of the history, or
// never. One process records a history, so that all its moments come from one clock and are comparable.
package audit
