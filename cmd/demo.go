package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"turmericpulley/io/demo"
	"turmericpulley/io/load"
)

// demoCommand runs the whole system in one process, with stand-ins for the platform and the databases.
type demoCommand struct {
	settings demo.Settings
}

func newDemoCommand(app *kingpin.Application, commands map[string]command) {
	c := &demoCommand{}
	clause := app.Command("demo", "Run the whole system in one process, kill a primary under load and check the history.")
	clause.Flag("duration", "Duration of the load.").
		Envar(environmentPrefix + "DEMO_DURATION").Default("12s").DurationVar(&c.settings.Duration)
	clause.Flag("seed", "Seed of the load; 0 chooses a random one.").
		Envar(environmentPrefix + "DEMO_SEED").Uint64Var(&c.settings.Seed)
	commands[clause.FullCommand()] = c
}

func (c *demoCommand) run(out, errOut io.Writer) int {
	c.settings.Out = out
	if c.settings.Seed == 0 {
		c.settings.Seed = load.NewSeed()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	summary, err := demo.Run(ctx, c.settings)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "demo: %v\n", err)
		return exitFailed
	}
	if err := json.NewEncoder(out).Encode(summary); err != nil {
		_, _ = fmt.Fprintf(errOut, "demo: %v\n", err)
		return exitFailed
	}
	if !summary.Clean() {
		return exitFailed
	}
	return exitOK
}
