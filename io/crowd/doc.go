// Package crowd brings crowds of clients that do not behave to the program's own processes: it opens their connections and records
// what the process takes meanwhile. Its tests check that the process lives, that its memory and descriptors stay under a bound, and
// that an ordinary request is answered afterwards; they check no times and no shares.
package crowd
