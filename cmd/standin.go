package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/fakekv"
)

// memberCommand runs a stand-in for a database member.
type memberCommand struct {
	settings fakedb.Settings
	id       string
	role     string
	term     uint64
	grace    time.Duration
}

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	settings fakekv.Settings
	seedFile string
}

func newStandinCommands(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("standin", "Run a stand-in for a system around the proxy, for tests.")
	newMemberCommand(parent.Command("member", "Run a stand-in for a database member."), commands)
	newPlatformCommand(parent.Command("platform", "Run a stand-in for the platform's key-value service and target list."), commands)
}

func newMemberCommand(clause *kingpin.CmdClause, commands map[string]command) {
	defaults := fakedb.Defaults()
	c := &memberCommand{}
	flag := standinFlag(clause, "STANDIN_MEMBER_")
	flag("id", "Name of the member.").Required().StringVar(&c.id)
	flag("address", "IP address and port to listen on.").Default(defaults.Address).StringVar(&c.settings.Address)
	flag("advertised", "Address that others use, when it differs from --address.").StringVar(&c.settings.Advertised)
	flag("slots", "Maximum number of statements at once; 0 means no limit.").Default("0").IntVar(&c.settings.Slots)
	flag("connections", "Maximum number of connections; 0 means no limit.").Default("0").IntVar(&c.settings.Connections)
	flag("connect-cost", "Time to open a connection.").
		Default(defaults.ConnectCost.String()).DurationVar(&c.settings.ConnectCost)
	flag("statement-time", "Time that a statement holds its slot.").
		Default(defaults.StatementTime.String()).DurationVar(&c.settings.StatementTime)
	flag("receive-lag", "Delay before a log entry is received.").Default("0s").DurationVar(&c.settings.ReceiveLag)
	flag("apply-lag", "Delay before a received entry is visible.").Default("0s").DurationVar(&c.settings.ApplyLag)
	flag("lock-timeout", "Maximum wait for a locked row.").
		Default(defaults.LockTimeout.String()).DurationVar(&c.settings.LockTimeout)
	flag("members", "Number of members of the database.").Default("1").IntVar(&c.settings.Members)
	flag("role", "Initial role: primary or replica.").Default(string(fakedb.Replica)).
		EnumVar(&c.role, string(fakedb.Primary), string(fakedb.Replica))
	flag("term", "Initial term.").Default("1").Uint64Var(&c.term)
	flag("primary", "Address of the primary that a replica follows initially.").StringVar(&c.settings.Primary)
	flag("state-path", "File that keeps the state across restarts.").StringVar(&c.settings.StatePath)
	flag("grace", "Time between SIGTERM and the exit.").Default("5s").DurationVar(&c.grace)
	commands[clause.FullCommand()] = c
}

func newPlatformCommand(clause *kingpin.CmdClause, commands map[string]command) {
	c := &platformCommand{}
	flag := standinFlag(clause, "STANDIN_PLATFORM_")
	flag("address", "IP address and port to listen on.").Default("127.0.0.1:0").StringVar(&c.settings.Address)
	flag("seed-file", "File with the initial keys and values as a JSON object.").StringVar(&c.seedFile)
	commands[clause.FullCommand()] = c
}

// standinFlag returns a function that adds a flag with its environment variable.
func standinFlag(clause *kingpin.CmdClause, prefix string) func(name, help string) *kingpin.FlagClause {
	return func(name, help string) *kingpin.FlagClause {
		variable := environmentPrefix + prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		return clause.Flag(name, help).Envar(variable)
	}
}

func (c *memberCommand) run(out, errOut io.Writer) int {
	signals := stopSignals()
	defer signal.Stop(signals)
	c.settings.ID = types.TargetID(c.id)
	c.settings.Role = fakedb.Role(c.role)
	c.settings.Term = types.Term(c.term)
	c.settings.Logger = hclog.New(&hclog.LoggerOptions{Name: "member", Output: errOut})
	member, err := fakedb.Start(c.settings)
	if err != nil {
		return standinFailure(errOut, err)
	}
	_, _ = fmt.Fprintln(out, "listening", member.Address())
	if <-signals == syscall.SIGTERM {
		err = member.Leave(c.grace)
	} else {
		err = member.Close()
	}
	if err != nil {
		return standinFailure(errOut, err)
	}
	return exitOK
}

func (c *platformCommand) run(out, errOut io.Writer) int {
	signals := stopSignals()
	defer signal.Stop(signals)
	seed, err := readSeed(c.seedFile)
	if err != nil {
		return standinFailure(errOut, err)
	}
	c.settings.Seed = seed
	platform, err := fakekv.Start(c.settings)
	if err != nil {
		return standinFailure(errOut, err)
	}
	_, _ = fmt.Fprintln(out, "listening", platform.URL())
	<-signals
	if err := platform.Close(); err != nil {
		return standinFailure(errOut, err)
	}
	return exitOK
}

// readSeed reads the initial documents. A value that is a JSON string is decoded; any other JSON is kept as it is written.
func readSeed(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the seed file")
	}
	var documents map[string]json.RawMessage
	if err := json.Unmarshal(data, &documents); err != nil {
		return nil, errors.Wrap(err, "the seed file must be a JSON object of keys and values")
	}
	seed := make(map[string]string, len(documents))
	for key, document := range documents {
		var text string
		if json.Unmarshal(document, &text) != nil {
			text = string(document)
		}
		seed[key] = text
	}
	return seed, nil
}

func stopSignals() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}

func standinFailure(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintf(errOut, "standin: %v\n", err)
	return exitFailed
}
