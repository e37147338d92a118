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

// stepTimeLayout is the layout of the time of a step, in UTC.
const stepTimeLayout = "15:04:05.000000"

// explainCommand shows the recorded events of one request.
type explainCommand struct {
	flags   *fleetFlags
	request string
	logs    []string
}

func newExplainCommand(app *kingpin.Application, commands map[string]command) {
	c := &explainCommand{}
	clause := app.Command("explain", "Show the events that the instances recorded for a request.")
	clause.Arg("request", "Id of the request in hexadecimal.").Required().StringVar(&c.request)
	clause.Flag("log", "File with saved log lines to read instead of querying the instances; may be repeated.").
		StringsVar(&c.logs)
	c.flags = newFleetFlags(clause)
	commands[clause.FullCommand()] = c
}

func (c *explainCommand) run(out, errOut io.Writer) int {
	if len(c.logs) > 0 {
		return explainLogs(out, errOut, c.request, c.logs)
	}
	id, err := trace.ParseID(c.request)
	if err != nil {
		return reportError(errOut, fault.New(fault.InvalidSettings, err.Error()))
	}
	ctx := context.Background()
	client, instances, err := c.flags.clientAndInstances(ctx)
	if err != nil {
		return reportError(errOut, err)
	}
	defer func() { _ = client.Close() }()
	explanation := client.Explain(ctx, instances, id)
	code := exitOK
	if len(explanation.Steps) == 0 {
		code = exitFailed
	}
	if c.flags.json {
		return printJSON(out, errOut, explanation, code)
	}
	printExplanation(out, errOut, explanation)
	return code
}

func printExplanation(out, errOut io.Writer, explanation admin.Explanation) {
	printInstanceIDs(errOut, "no answer from", explanation.Unresponsive)
	if len(explanation.Steps) == 0 {
		_, _ = fmt.Fprintf(errOut, "no instance has a trace of request %s; each keeps the traces of its latest %d requests\n",
			explanation.RequestID, trace.DefaultCapacity)
		return
	}
	_, _ = fmt.Fprintf(out, "request %s of customer %s on database %s, session %q, %s from first to last step\n",
		explanation.RequestID, explanation.Customer, explanation.Database, explanation.Session, explanation.Elapsed())
	rows := make([][]string, 0, len(explanation.Steps))
	for _, step := range explanation.Steps {
		rows = append(rows, []string{"  " + step.At.UTC().Format(stepTimeLayout), string(step.Instance), step.Describe()})
	}
	printTable(out, rows)
	if explanation.Dropped > 0 {
		_, _ = fmt.Fprintf(out, "  %d more events were not kept\n", explanation.Dropped)
	}
}
