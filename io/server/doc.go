// Package server assembles an instance: callers' listener, peers, owners of databases and the HTTP listener.
package server
