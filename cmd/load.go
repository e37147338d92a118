package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/mattn/go-isatty"

	"turmericpulley/core/types"
	"turmericpulley/io/load"
)

// loadCommand generates load and reports the results that the callers received.
type loadCommand struct {
	settings         load.Settings
	workload         string
	addresses        string
	metricsAddresses string
	customer         string
	databases        string
	rate             float64
	json             bool
}

func newLoadCommand(app *kingpin.Application, commands map[string]command) {
	c := &loadCommand{}
	clause := app.Command("load", "Generate load against instances and check the recorded history.")
	flag := func(name, help string) *kingpin.FlagClause {
		environment := environmentPrefix + "LOAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		return clause.Flag(name, help).Envar(environment)
	}
	flag("instances", "Addresses of the instances for callers, separated by commas.").Required().StringVar(&c.addresses)
	flag("metrics", "HTTP addresses of the same instances, separated by commas, for the share of replica reads.").
		StringVar(&c.metricsAddresses)
	flag("workload", "Workload: orders or kiosk.").Default(string(load.Orders)).EnumVar(&c.workload, load.Workloads()...)
	flag("customer", "Customer to connect as.").Required().StringVar(&c.customer)
	flag("databases", "Databases, separated by commas.").Required().StringVar(&c.databases)
	flag("rate", "Requests per second.").Default("200").Float64Var(&c.rate)
	flag("duration", "Time during which new requests start.").Default("10s").DurationVar(&c.settings.Duration)
	flag("sessions", "Number of sessions.").Default("20").IntVar(&c.settings.Sessions)
	flag("connections", "Connections of each session.").Default("2").IntVar(&c.settings.Connections)
	flag("roam", "Requests after which a caller moves to another instance; 0 means never.").IntVar(&c.settings.RequestsPerInstance)
	flag("write-share", "Share of requests that write.").Default("0.1").Float64Var(&c.settings.WriteShare)
	flag("timeout", "Maximum time for one request, retries included.").Default("10s").DurationVar(&c.settings.RequestTimeout)
	flag("request-keys", "Send writes with request keys and repeat those whose outcome is unknown.").BoolVar(&c.settings.RequestKeys)
	flag("prepared", "Prepare statements on each connection.").BoolVar(&c.settings.Prepared)
	flag("seed", "Seed of the requests; 0 chooses a random one.").Uint64Var(&c.settings.Seed)
	clause.Flag("json", "Print the result as JSON.").BoolVar(&c.json)
	commands[clause.FullCommand()] = c
}

func (c *loadCommand) run(out, errOut io.Writer) int {
	c.fillSettings()
	_, _ = fmt.Fprintf(errOut, "seed %d\n", c.settings.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := load.Run(ctx, c.settings)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "load: %v\n", err)
		return exitFailed
	}
	if err := c.print(out, result); err != nil {
		_, _ = fmt.Fprintf(errOut, "load: %v\n", err)
		return exitFailed
	}
	if !result.Clean() {
		return exitFailed
	}
	return exitOK
}

// fillSettings sets the settings that no flag sets directly.
func (c *loadCommand) fillSettings() {
	c.settings.Workload = load.Workload(c.workload)
	c.settings.Customer = types.AccountID(c.customer)
	c.settings.Rate = load.Rate(c.rate)
	c.settings.Addresses = splitList(c.addresses)
	for _, database := range splitList(c.databases) {
		c.settings.Databases = append(c.settings.Databases, types.DatabaseID(database))
	}
	if c.metricsAddresses != "" {
		c.settings.ReadCounter = load.MetricsCounter{Addresses: splitList(c.metricsAddresses)}
	}
	if c.settings.Seed == 0 {
		c.settings.Seed = load.NewSeed()
	}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		c.settings.Progress = os.Stderr
	}
}

func (c *loadCommand) print(out io.Writer, result load.Result) error {
	if c.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	_, err := io.WriteString(out, result.Text())
	return err
}

// splitList returns the non-empty parts of a list separated by commas, without surrounding spaces.
func splitList(list string) []string {
	var parts []string
	for _, part := range strings.Split(list, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			parts = append(parts, trimmed)
		}
	}
	return parts
}
