// Package class records which statements replicas refused because they write, so that later ones go to the primary.
package class
