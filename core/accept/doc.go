// Package accept decides when a stored change of a contract may be reported as accepted: no instance takes new work under
// an older version any more.
package accept
