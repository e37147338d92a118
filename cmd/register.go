package cmd

import "github.com/alecthomas/kingpin/v2"

// register adds every command to the application, and to the map from full command names to implementations.
func register(app *kingpin.Application, commands map[string]command) {
	newServeCommand(app, commands)
	newInstanceCommand(app, commands)
	newDemoCommand(app, commands)
	newLoadCommand(app, commands)
	newStandinCommands(app, commands)
	newReportCommand(app, commands)
	newContractCommands(app, commands)
	newStatusCommand(app, commands)
	newExplainCommand(app, commands)
	newAccountsCommand(app, commands)
}
