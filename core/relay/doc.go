// Package relay holds the contracts and groups that instances pass on to each other, and decides whether the copies of an
// instance are fresh.
package relay
