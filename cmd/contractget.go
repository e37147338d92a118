package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/admin"
)

// contractGetCommand shows a customer's present contract.
type contractGetCommand struct {
	flags    *operatorFlags
	customer string
}

func newContractGetCommand(parent *kingpin.CmdClause, commands map[string]command) {
	c := &contractGetCommand{}
	clause := parent.Command("get", "Show the present contract of a customer; with --json as a document to edit and apply.")
	clause.Arg("customer", "Name of the customer.").Required().StringVar(&c.customer)
	c.flags = newOperatorFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *contractGetCommand) run(out, errOut io.Writer) int {
	version, err := c.flags.readContract(c.customer)
	if err != nil {
		return reportError(errOut, err)
	}
	if c.flags.json {
		return printJSON(out, errOut, version.Contract, exitOK)
	}
	_, _ = fmt.Fprintf(out, "contract of %s, revision %s\n", version.Contract.Customer, version.Revision)
	printContract(out, version.Contract)
	return exitOK
}

// readContract reads the present contract of a customer; a missing or invalid contract is an error.
func (f *operatorFlags) readContract(customer string) (admin.Version, error) {
	client, err := f.newClient()
	if err != nil {
		return admin.Version{}, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	defer cancel()
	version, found, err := client.Contract(ctx, types.AccountID(customer))
	if err != nil {
		return admin.Version{}, err
	}
	if !found {
		return admin.Version{}, errors.Errorf("customer %q has no contract; create one with: contract apply", customer)
	}
	if version.Problem != "" {
		return admin.Version{}, errors.Errorf("the stored contract, revision %s, is invalid: %s", version.Revision, version.Problem)
	}
	return version, nil
}

// printContract prints the settings of a contract, with defaults for those that it leaves out.
func printContract(out io.Writer, contract policy.Contract) {
	complete := contract.WithDefaults()
	groups := make([]string, 0, len(complete.Groups))
	for _, group := range complete.Groups {
		groups = append(groups, string(group))
	}
	printTable(out, [][]string{
		{"  groups", strings.Join(groups, ", ")},
		{"  connections", strconv.Itoa(complete.Connections)},
		{"  maxReadAge", complete.MaxReadAge.Duration().String()},
		{"  requestRate", formatRate(complete.RequestRate)},
		{"  queueLength", strconv.Itoa(complete.QueueLength)},
		{"  queueTimeout", complete.QueueTimeout.Duration().String()},
		{"  statementTimeout", complete.StatementTimeout.Duration().String()},
		{"  weight", strconv.Itoa(complete.Weight)},
	})
}

func formatRate(rate int) string {
	if rate == 0 {
		return "unlimited"
	}
	return strconv.Itoa(rate) + " per second"
}
