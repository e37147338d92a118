package cmd

import "github.com/alecthomas/kingpin/v2"

// newContractCommands adds the commands that check, change and show customers' contracts.
func newContractCommands(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("contract", "Check, change and read the contracts of customers.")
	newContractValidateCommand(parent, commands)
	newContractApplyCommand(parent, commands)
	newContractGetCommand(parent, commands)
	newContractListCommand(parent, commands)
	newContractHistoryCommand(parent, commands)
}
