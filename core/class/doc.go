// Package class remembers which statements replicas refused because they write.
package class
