// Package fakepl is a stand-in for the users' platform: its store, its promote call, and database members that speak a line
// protocol and whose replicas apply commits after a lag. Tests use it where the users' test environment is not available. It
// encodes the formats of the platform's documentation without using package platform, so that tests find a format that package
// platform implements wrongly.
package fakepl
