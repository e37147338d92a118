// Package hold decides which instance owns a database and for how long it may act on that.
//
// An ownership is a record in the platform's store that is only written on change; the store's revision of that write
// is the epoch. A read of the store that still shows the record lets the owner work for Duration from the sending of
// the read, suspensions of the machine included. A new owner may work at the same primary at once: the primary orders
// the writes of both. Before it promotes another member it waits until no older owner can still work, unless that one
// has confirmed that it stopped.
package hold
