// Package cover decides whether the configuration that an instance received from other instances is fresh enough, so that the
// instance need not read the store itself.
package cover
