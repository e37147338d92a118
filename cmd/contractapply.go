package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/core/types"
	"turmericpulley/io/admin"
)

// contractApplyCommand stores a contract and waits until it is in force at all instances.
type contractApplyCommand struct {
	flags       *operatorFlags
	file        string
	revision    uint64
	revisionSet bool
}

func newContractApplyCommand(parent *kingpin.CmdClause, commands map[string]command) {
	c := &contractApplyCommand{}
	clause := parent.Command("apply", "Store a contract and wait until it is in force at all instances.")
	clause.Arg("file", "File with the contract; - reads standard input.").Required().StringVar(&c.file)
	clause.Flag("revision", "Expected present revision of the contract; 0 when there must be no contract yet.").
		IsSetByUser(&c.revisionSet).Uint64Var(&c.revision)
	c.flags = newOperatorFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *contractApplyCommand) run(out, errOut io.Writer) int {
	contract, err := readContractFile(c.file)
	if err != nil {
		return reportError(errOut, err)
	}
	client, err := c.flags.newClient()
	if err != nil {
		return reportError(errOut, err)
	}
	defer func() { _ = client.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result := client.Apply(ctx, contract, admin.Base{Explicit: c.revisionSet, Revision: types.Revision(c.revision)})
	if c.flags.json {
		return printJSON(out, errOut, result, exitCodeOf(result.Outcome))
	}
	printResult(out, errOut, result)
	return exitCodeOf(result.Outcome)
}

// exitCodeOf returns the exit code for the outcome of a change.
func exitCodeOf(outcome admin.Outcome) int {
	switch outcome {
	case admin.Accepted:
		return exitOK
	case admin.Conflict:
		return exitConflict
	case admin.Pending:
		return exitPending
	case admin.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// printResult prints the result of a stored change. For any other change it prints the outcome and the reason to the error
// output.
func printResult(out, errOut io.Writer, result admin.Result) {
	if result.Outcome != admin.Accepted && result.Outcome != admin.Pending {
		_, _ = fmt.Fprintf(errOut, "%s: %s: %s\n", result.Customer, result.Outcome, result.Detail)
		return
	}
	_, _ = fmt.Fprintf(out, "%s: %s, revision %s, change %s\n", result.Customer, result.Outcome, result.Revision, result.ChangeID)
	printInstanceIDs(out, "in force at", result.InForce)
	printInstanceIDs(out, "isolated, taking no work", result.Isolated)
	printInstanceIDs(out, "outside the membership", result.Removed)
	printInstanceIDs(out, "waiting for", result.Waiting)
	if result.Detail != "" {
		_, _ = fmt.Fprintln(errOut, result.Detail)
	}
}

func printInstanceIDs(out io.Writer, label string, ids []types.InstanceID) {
	if len(ids) == 0 {
		return
	}
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	_, _ = fmt.Fprintf(out, "  %s: %s\n", label, strings.Join(names, ", "))
}
