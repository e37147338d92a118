package cmd

import (
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/core/policy"
	"turmericpulley/io/admin"
)

// contractHistoryCommand shows the latest changes of a customer's contract.
type contractHistoryCommand struct {
	flags    *operatorFlags
	customer string
}

func newContractHistoryCommand(parent *kingpin.CmdClause, commands map[string]command) {
	c := &contractHistoryCommand{}
	clause := parent.Command("history", "Show the latest changes of a customer's contract.")
	clause.Arg("customer", "Name of the customer.").Required().StringVar(&c.customer)
	c.flags = newOperatorFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *contractHistoryCommand) run(out, errOut io.Writer) int {
	version, err := c.flags.readContract(c.customer)
	if err != nil {
		return reportError(errOut, err)
	}
	changes := changesOf(version)
	if c.flags.json {
		return printJSON(out, errOut, changes, exitOK)
	}
	rows := [][]string{{"REVISION", "CHANGE", "CHANGED AT", "OPERATOR"}}
	for _, change := range changes {
		rows = append(rows, []string{change.Revision.String(), change.ChangeID, formatTime(change.ChangedAt), change.Operator})
	}
	printTable(out, rows)
	return exitOK
}

// changesOf returns the changes that led to the present version, newest first.
func changesOf(version admin.Version) []policy.Change {
	latest := policy.Change{
		ChangeID:  version.Contract.ChangeID,
		Revision:  version.Revision,
		ChangedAt: version.Contract.ChangedAt,
		Operator:  version.Contract.Operator,
	}
	return append([]policy.Change{latest}, version.Contract.History...)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "unknown"
	}
	return at.Format(time.RFC3339)
}
