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

func (c *contractGetCommand) run(out, problems io.Writer) int {
	version, err := c.flags.readContract(c.customer)
	if err != nil {
		return reportError(problems, err)
	}
	if c.flags.json {
		return printJSON(out, problems, version.Contract, exitOK)
	}
	_, _ = fmt.Fprintf(out, "contract of %s, revision %s\n", version.Contract.Customer, version.Revision)
	printContract(out, version.Contract)
	return exitOK
}

// readContract reads the present and sound contract of a customer.
func (f *operatorFlags) readContract(customer string) (admin.Version, error) {
	client, err := f.client()
	if err != nil {
		return admin.Version{}, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	defer cancel()
	version, found, err := client.Contract(ctx, types.CustomerID(customer))
	if err != nil {
		return admin.Version{}, err
	}
	if !found {
		return admin.Version{}, errors.Errorf("customer %q has no contract; make one with: contract apply", customer)
	}
	if version.Problem != "" {
		return admin.Version{}, errors.Errorf("revision %s: %s", version.Revision, version.Problem)
	}
	return version, nil
}

func printContract(out io.Writer, contract policy.Contract) {
	full := contract.WithDefaults()
	groups := make([]string, 0, len(full.Groups))
	for _, group := range full.Groups {
		groups = append(groups, string(group))
	}
	printTable(out, [][]string{
		{"  groups", strings.Join(groups, ", ")},
		{"  connections", strconv.Itoa(full.Connections)},
		{"  maxReadAge", full.MaxReadAge.Std().String()},
		{"  requestRate", formatRate(full.RequestRate)},
		{"  queueLength", strconv.Itoa(full.QueueLength)},
		{"  queueTimeout", full.QueueTimeout.Std().String()},
		{"  statementTimeout", full.StatementTimeout.Std().String()},
		{"  weight", strconv.Itoa(full.Weight)},
	})
}

func formatRate(rate int) string {
	if rate == 0 {
		return "unlimited"
	}
	return strconv.Itoa(rate) + " per second"
}
