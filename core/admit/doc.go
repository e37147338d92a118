// Package admit decides whose transaction gets a target's next free connection.
package admit
