// Package usage counts what client accounts use, with a bound on the number of accounts that are told apart.
package usage
