// Package cmd implements the command line; each command has a file and a constructor.
package cmd
