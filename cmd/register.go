package cmd

import "github.com/alecthomas/kingpin/v2"

// register adds every command to the application; commands maps full names to what runs them.
func register(_ *kingpin.Application, _ map[string]command) {
}
