// Package budget decides what an instance takes in for its callers: how many connections and sessions it keeps, and how many bytes it
// holds for them, by connection, by client account and in all. It also decides who is turned away when there is no room: connections
// that make no progress first, then the heaviest. It is plain code without a network; fronts of both protocols use it.
package budget
