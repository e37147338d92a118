// Package cover decides whether the configuration that an instance received from other instances is fresh enough, so that the
// instance need not read the store itself. Package node uses it; package peers uses relay.Freshness instead.
package cover
