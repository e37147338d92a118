package cmd

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/io/plots"
)

// reportCommand writes a page with plots of the results of load runs.
type reportCommand struct {
	results   []string
	directory string
}

func newReportCommand(app *kingpin.Application, commands map[string]command) {
	c := &reportCommand{}
	clause := app.Command("report", "Write a page with plots of results of the load command.")
	clause.Arg("result", "Results written by load --json.").Required().ExistingFilesVar(&c.results)
	clause.Flag("out", "Directory of the page.").Envar(environmentPrefix + "REPORT_OUT").Required().StringVar(&c.directory)
	commands[clause.FullCommand()] = c
}

func (c *reportCommand) run(out, errOut io.Writer) int {
	runs := make([]plots.Run, 0, len(c.results))
	for _, path := range c.results {
		run, err := plots.ReadRun(path)
		if err != nil {
			_, _ = fmt.Fprintf(errOut, "report: %v\n", err)
			return exitUsage
		}
		runs = append(runs, run)
	}
	if err := plots.Write(c.directory, runs); err != nil {
		_, _ = fmt.Fprintf(errOut, "report: %v\n", err)
		return exitFailed
	}
	_, _ = fmt.Fprintln(out, filepath.Join(c.directory, plots.PageName))
	return exitOK
}
