// Package sock asks the kernel about connections and sets limits that the standard library does not offer.
package sock
