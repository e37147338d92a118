// Package relay spreads contracts and groups between instances and decides whether an instance's copies are fresh.
package relay
