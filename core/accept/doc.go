// Package accept decides when a stored change of a contract governs everywhere and may be called accepted.
package accept
