package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/types"
	"turmericpulley/io/server"
)

// serveCommand runs an instance that serves callers over the PostgreSQL protocol.
type serveCommand struct {
	settings   server.Settings
	id         string
	region     string
	dataCentre string
	seeds      string
	links      []string
	logLevel   string
	logJSON    bool
	check      bool
}

func newServeCommand(app *kingpin.Application, commands map[string]command) {
	c := &serveCommand{}
	clause := app.Command("serve", "Run an instance of the proxy.")
	flag := func(name, help string) *kingpin.FlagClause {
		return clause.Flag(name, help).Envar(environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}
	flag("id", "Unique name of the instance.").StringVar(&c.id)
	flag("region", "Region of the instance.").StringVar(&c.region)
	flag("data-centre", "Data centre of the instance.").StringVar(&c.dataCentre)
	flag("callers-address", "IP address and port for callers.").StringVar(&c.settings.CallersAddress)
	flag("peers-address", "IP address and port for other instances.").StringVar(&c.settings.PeersAddress)
	flag("advertise-peers-address", "Address that other instances dial, when it differs from --peers-address.").
		StringVar(&c.settings.AdvertisedPeersAddress)
	flag("http-address", "IP address and port for metrics, liveness, readiness and state.").StringVar(&c.settings.HTTPAddress)
	flag("platform", "Base URL of the platform.").StringVar(&c.settings.Platform)
	flag("seeds", "Addresses of other instances to contact first, separated by commas.").StringVar(&c.seeds)
	flag("max-connections", "Maximum number of caller connections; 0 means the default.").IntVar(&c.settings.MaxConnections)
	flag("memory-mib", "Memory of the machine in MiB; 0 means that of the control group or the machine.").IntVar(&c.settings.MemoryMiB)
	flag("max-descriptors", "Descriptors that the process may open; 0 means its limit.").IntVar(&c.settings.MaxDescriptors)
	flag("stop-timeout", "Maximum time that a graceful shutdown waits for requests.").
		Default(server.DefaultStopTimeout.String()).DurationVar(&c.settings.StopTimeout)
	flag("link", "REAL=VIA: dial VIA instead of REAL; for tests.").StringsVar(&c.links)
	flag("log-level", "Minimum level of log lines.").Default("info").EnumVar(&c.logLevel, "debug", "info", "warn", "error")
	flag("log-json", "Write log lines as JSON.").BoolVar(&c.logJSON)
	clause.Flag("check", "Only check the settings.").BoolVar(&c.check)
	commands[clause.FullCommand()] = c
}

func (c *serveCommand) run(out, errOut io.Writer) int {
	c.fillSettings(errOut)
	if err := c.settings.Check(); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if c.check {
		_, _ = fmt.Fprintln(out, "the settings are valid")
		return exitOK
	}
	if memory := c.settings.Memory(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s, err := server.New(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	<-ctx.Done()
	s.Stop(context.Background())
	return exitOK
}

// fillSettings sets the settings that no flag sets directly.
func (c *serveCommand) fillSettings(errOut io.Writer) {
	c.settings.ID = types.InstanceID(c.id)
	c.settings.Region = types.Region(c.region)
	c.settings.DataCentre = types.DataCentre(c.dataCentre)
	c.settings.Links = map[string]string{}
	for _, link := range c.links {
		address, via, _ := strings.Cut(link, "=")
		c.settings.Links[address] = via
	}
	if c.seeds != "" {
		c.settings.Seeds = strings.Split(c.seeds, ",")
	}
	c.settings.Logger = hclog.New(&hclog.LoggerOptions{
		Name:       "turmericpulley",
		Level:      hclog.LevelFromString(c.logLevel),
		Output:     errOut,
		JSONFormat: c.logJSON,
	}).With("instance", c.id)
}
