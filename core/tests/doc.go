// Package tests holds helpers shared by the tests of several packages.
package tests
