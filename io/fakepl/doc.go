// Package fakepl is a stand-in for the users' platform: its store, its promote call, and database members that speak a
// line protocol and replicate asynchronously. Tests use it where the users' test environment is not available. It
// encodes the formats that the platform's documentation describes without using package platform, so that tests find a
// format that package platform implements wrongly.
package fakepl
