// Package accept decides when a stored change of a contract may be reported as accepted. From then on no instance takes new
// work under an older version.
package accept
