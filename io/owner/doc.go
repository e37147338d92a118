// Package owner keeps all connections to the members of a database, runs transactions on them and promotes primaries.
package owner
