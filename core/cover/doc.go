// Package cover decides whether an instance's copy of the configuration is current enough through other instances, so that
// it need not ask the store itself.
package cover
