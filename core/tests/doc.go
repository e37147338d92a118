// Package tests holds helpers that the tests of several packages share.
package tests
