// Package patch describes how one version of a document differs from the one before.
package patch
