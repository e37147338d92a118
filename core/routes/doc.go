// Package routes holds the operator's configuration of routes by database name and of the databases behind them.
package routes
