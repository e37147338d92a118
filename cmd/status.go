package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/core/types"
	"turmericpulley/io/admin"
	"turmericpulley/io/owner"
)

// statusCommand shows the instances, and for each database its owner, its members and their replication lag.
type statusCommand struct {
	flags *fleetFlags
}

func newStatusCommand(app *kingpin.Application, commands map[string]command) {
	c := &statusCommand{}
	clause := app.Command("status", "Show instances, owners of databases, primaries and lags.")
	c.flags = newFleetFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *statusCommand) run(out, errOut io.Writer) int {
	ctx := context.Background()
	client, instances, err := c.flags.clientAndInstances(ctx)
	if err != nil {
		return reportError(errOut, err)
	}
	defer func() { _ = client.Close() }()
	status := client.Status(ctx, instances)
	if c.flags.json {
		return printJSON(out, errOut, status, exitOK)
	}
	printInstanceTable(out, status.Instances)
	printDatabaseTable(out, status.Databases)
	for _, id := range status.Unowned {
		_, _ = fmt.Fprintf(out, "database %s has no owner among the instances that answered\n", id)
	}
	return exitOK
}

func printInstanceTable(out io.Writer, instances []admin.InstanceStatus) {
	rows := make([][]string, 0, len(instances)+1)
	rows = append(rows, []string{
		"INSTANCE", "DATA CENTRE", "STATE", "READY", "MEMBERSHIP", "DOCUMENTS", "SUSPECTED BY", "PROBLEM",
	})
	for _, i := range instances {
		rows = append(rows, []string{
			string(i.ID),
			string(i.DataCentre),
			string(i.State),
			yesOrNo(i.Ready),
			i.MembershipRevision.String(),
			i.DocumentRevision.String(),
			fmt.Sprint(len(i.SuspectedBy)),
			i.Problem + i.NotReadyBecause,
		})
	}
	printTable(out, rows)
}

func printDatabaseTable(out io.Writer, databases []admin.DatabaseStatus) {
	rows := [][]string{{"DATABASE", "OWNER", "EPOCH", "PHASE", "MEMBER", "ROLE", "TERM", "LAG", "AGE", "IN USE", "QUEUE"}}
	for _, d := range databases {
		for _, m := range d.Members {
			rows = append(rows, []string{
				string(d.Database),
				string(d.Owner),
				d.Epoch.String(),
				d.Phase,
				string(m.Target),
				displayedRole(d, m),
				d.Term.String(),
				formatLag(d.Position, m.Applied),
				formatAge(m.AgeMs),
				fmt.Sprint(m.InUse),
				fmt.Sprint(m.Queue),
			})
		}
	}
	printTable(out, rows)
}

// displayedRole returns the role to show for a member, or its state when it is down or leaving.
func displayedRole(d admin.DatabaseStatus, m owner.MemberReport) string {
	switch {
	case !m.Up:
		return "down"
	case m.Leaving:
		return "leaving"
	case m.Target == d.Primary:
		return "primary"
	default:
		return m.Role
	}
}

// formatLag returns by how many log positions a member is behind the primary.
func formatLag(primary, applied types.Position) string {
	if applied >= primary {
		return "0"
	}
	return (primary - applied).String()
}

// formatAge returns the age of a member's data; a negative age means that it is not known.
func formatAge(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%dms", ms)
}

func yesOrNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
