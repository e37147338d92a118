package cmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// contractValidateCommand checks a contract without storing it.
type contractValidateCommand struct {
	file string
	json bool
}

func newContractValidateCommand(parent *kingpin.CmdClause, commands map[string]command) {
	c := &contractValidateCommand{}
	clause := parent.Command("validate", "Check a contract and show it with its defaults.")
	clause.Arg("file", "File with the contract; - reads standard input.").Required().StringVar(&c.file)
	clause.Flag("json", "Write JSON instead of text.").Envar(environmentPrefix + "JSON").BoolVar(&c.json)
	commands[clause.FullCommand()] = c
}

func (c *contractValidateCommand) run(out, errOut io.Writer) int {
	contract, err := readContractFile(c.file)
	if err != nil {
		return reportError(errOut, err)
	}
	if c.json {
		return printJSON(out, errOut, contract.WithDefaults(), exitOK)
	}
	_, _ = fmt.Fprintf(out, "the contract of %s is valid\n", contract.Customer)
	printContract(out, contract)
	return exitOK
}
