// Package hold decides which instance owns a database and how long its lease lasts. Packages group and node use it; packages
// owner and server use package quorum, where the members of the database grant the lease.
//
// The store of the platform holds one record per database, which names the owner and is written only when it changes.
// The store's revision of that write is the epoch. Each read of the store that still shows the record renews the owner's
// lease for LeaseDuration, counted from the sending of the read; time in which the machine is suspended counts too.
// A new owner may work at the same primary at once, even while the old owner still works, because the primary orders
// the writes of both. Before it promotes another member, it waits until the leases of all earlier owners have expired;
// it need not wait for an owner that has confirmed that it stopped.
package hold
