// Package fakekv is a stand-in for the platform: a key-value store with leases and watches, and the lagging target list.
package fakekv
