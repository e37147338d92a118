// Package routes holds the operator's configuration: the routes by database name and the databases that they lead to.
package routes
