// Package wire holds the protobuf messages that instances exchange.
package wire
