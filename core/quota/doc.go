// Package quota holds client accounts to their limits across the fleet.
//
// An account's operations reach members through the owners of the databases, each of which sees a part of them. One owner, the lender,
// keeps a token bucket for each account and lends the tokens of it to the owners that ask: a Pool. Each owner spends what it was lent: a
// Ledger. An owner that reaches no lender spends a fixed share of the limit, one divided by the number of databases.
//
// The sum holds without agreement on who the lender is. A lender fills its buckets only with the shares of the databases whose owners
// have lately confirmed an answer of it, and such an owner does not spend its fixed share. Two lenders at once therefore lend no more than
// one. The owner of a database that another instance may still own counts as half of one. So does an owner that the store has not confirmed
// for a while, unless the lender reaches the owners of most databases. A lender takes it that all was lent that it does not know of.
package quota
