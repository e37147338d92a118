package cmd

import (
	"context"
	"io"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
)

// contractListCommand shows the contracts of all customers.
type contractListCommand struct {
	flags *operatorFlags
}

func newContractListCommand(parent *kingpin.CmdClause, commands map[string]command) {
	c := &contractListCommand{}
	clause := parent.Command("list", "Show the contracts of all customers.")
	c.flags = newOperatorFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *contractListCommand) run(out, errOut io.Writer) int {
	client, err := c.flags.newClient()
	if err != nil {
		return reportError(errOut, err)
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), c.flags.timeout)
	defer cancel()
	versions, err := client.Contracts(ctx)
	if err != nil {
		return reportError(errOut, err)
	}
	if c.flags.json {
		return printJSON(out, errOut, versions, exitOK)
	}
	rows := [][]string{{"CUSTOMER", "REVISION", "GROUPS", "CONNECTIONS", "MAX READ AGE", "PROBLEM"}}
	for _, version := range versions {
		contract := version.Contract
		rows = append(rows, []string{
			string(contract.Customer),
			version.Revision.String(),
			strconv.Itoa(len(contract.Groups)),
			strconv.Itoa(contract.Connections),
			contract.MaxReadAge.Duration().String(),
			version.Problem,
		})
	}
	printTable(out, rows)
	return exitOK
}
