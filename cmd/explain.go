package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/core/fault"
	"turmericpulley/core/trace"
	"turmericpulley/io/admin"
)

// stepTimeLayout is the layout of a step's time, which is in UTC.
const stepTimeLayout = "15:04:05.000000"

// explainCommand tells what happened to one request.
type explainCommand struct {
	flags   *fleetFlags
	request string
	logs    []string
}

func newExplainCommand(app *kingpin.Application, commands map[string]command) {
	c := &explainCommand{}
	clause := app.Command("explain", "Tell what the instances remember of a request.")
	clause.Arg("request", "Id of the request, in hexadecimal.").Required().StringVar(&c.request)
	clause.Flag("log", "File with saved log lines of instances to read instead of asking them; may be repeated.").
		StringsVar(&c.logs)
	c.flags = newFleetFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *explainCommand) run(out, problems io.Writer) int {
	if len(c.logs) > 0 {
		return explainLogs(out, problems, c.request, c.logs)
	}
	id, err := trace.ParseID(c.request)
	if err != nil {
		return reportError(problems, fault.New(fault.InvalidSettings, err.Error()))
	}
	ctx := context.Background()
	client, instances, err := c.flags.clientAndInstances(ctx)
	if err != nil {
		return reportError(problems, err)
	}
	defer func() { _ = client.Close() }()
	explained := client.Explain(ctx, instances, id)
	code := exitOK
	if len(explained.Steps) == 0 {
		code = exitFailed
	}
	if c.flags.json {
		return printJSON(out, problems, explained, code)
	}
	printExplanation(out, problems, explained)
	return code
}

func printExplanation(out, problems io.Writer, explained admin.Explanation) {
	printInstanceIDs(problems, "no answer from", explained.Unresponsive)
	if len(explained.Steps) == 0 {
		_, _ = fmt.Fprintf(problems, "no instance remembers request %s; each keeps its latest %d\n",
			explained.RequestID, trace.DefaultCapacity)
		return
	}
	_, _ = fmt.Fprintf(out, "request %s of customer %s on database %s, session %q, %s from first to last step\n",
		explained.RequestID, explained.Customer, explained.Database, explained.Session, explained.Elapsed())
	rows := make([][]string, 0, len(explained.Steps))
	for _, step := range explained.Steps {
		rows = append(rows, []string{"  " + step.At.UTC().Format(stepTimeLayout), string(step.Instance), step.Describe()})
	}
	printTable(out, rows)
	if explained.Dropped > 0 {
		_, _ = fmt.Fprintf(out, "  %d more events were not kept\n", explained.Dropped)
	}
}
