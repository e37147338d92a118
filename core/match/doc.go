// Package match decides whether an answer on a connection to a member belongs to the statement that waits for it. The line protocol
// assigns answers by their order alone, and a member may answer a statement twice, the second time late.
package match
