package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/budget"
	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/io/front"
	"turmericpulley/io/logs"
	"turmericpulley/io/meter"
	"turmericpulley/io/node"
	"turmericpulley/io/sock"
	"turmericpulley/platform"
)

const (
	// memoryLimitShare is the share of the instance's memory limit that is set as the soft limit of the Go runtime; the
	// garbage collector runs more often as the memory in use approaches it.
	memoryLimitShare = 0.6
	// callerReceiveBytes and callerSendBytes bound what the kernel holds for a caller's connection, which counts as the machine's
	// memory; the kernel doubles them for its own needs.
	callerReceiveBytes = 16 << 10
	callerSendBytes    = 32 << 10
	// reloadInterval is the time between two checks of the settings file for changes.
	reloadInterval = 2 * time.Second
)

// instanceCommand runs an instance on the users' platform.
type instanceCommand struct {
	settingsPath string
	logLevel     string
	check        bool
}

func newInstanceCommand(app *kingpin.Application, commands map[string]command) {
	c := &instanceCommand{}
	clause := app.Command("instance", "Run an instance on the users' platform, with the settings that the platform gives.")
	clause.Flag("settings", "Path of the settings file; the platform names it in the environment.").
		Default(platform.SettingsPath()).StringVar(&c.settingsPath)
	clause.Flag("log-level", "Minimum level of log lines.").Default("info").EnumVar(&c.logLevel, "debug", "info", "warn", "error")
	clause.Flag("check", "Only check the settings.").BoolVar(&c.check)
	commands[clause.FullCommand()] = c
}

func (c *instanceCommand) run(out, errOut io.Writer) int {
	settings, err := platform.ReadSettings(c.settingsPath)
	if err != nil {
		return reportError(errOut, err)
	}
	if c.check {
		_, _ = fmt.Fprintln(out, "the settings are valid")
		return exitOK
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	}
	eventLines, requestLines := logs.New(out), logs.New(out)
	defer eventLines.Close()
	defer requestLines.Close()
	logger := c.newLogger(eventLines, settings)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := startNode(settings, logger, c.newLogger(requestLines, settings), meter.CounterFunc{
		Name: "log_lines_dropped", Description: "Log lines that found their ring full.",
		Read: func() int64 { return eventLines.Dropped() + requestLines.Dropped() },
	})
	if err != nil {
		logger.Error("instance not started", "error", err)
		return exitFailed
	}
	c.waitForStop(signals, logger, settings)
	n.Stop()
	return exitOK
}

// newLogger returns a logger that writes JSON lines to out. The instance has one for lines about requests and one for all other
// lines, each with its own writer, so that many lines of one kind do not cause lines of the other kind to be dropped.
func (c *instanceCommand) newLogger(out io.Writer, s platform.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level: hclog.LevelFromString(c.logLevel), Output: out, JSONFormat: true,
	}).With("instance", s.Instance)
}

// waitForStop waits for the signal to stop. Meanwhile it reads the settings file again every reloadInterval and on SIGHUP, and
// logs a change. A change takes effect only at the next start.
func (c *instanceCommand) waitForStop(signals <-chan os.Signal, logger hclog.Logger, settings platform.Settings) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
		}
		next, err := platform.ReadSettings(c.settingsPath)
		switch {
		case err != nil:
			logger.Warn("settings not reloaded, the former ones stay in force", "error", err)
		case !next.Equal(settings):
			settings = next
			logger.Info("settings changed; the change takes effect at the next start")
		}
	}
}

// startNode opens the listeners and starts the instance. The instance publishes the given counters and those of its store calls.
func startNode(s platform.Settings, logger, requests hclog.Logger, counters ...meter.CounterFunc) (*node.Node, error) {
	listeners := make([]net.Listener, 0, 3)
	for _, address := range []string{s.Peers, s.Ready, s.Callers} {
		config := net.ListenConfig{}
		if address == s.Callers {
			config.Control = sock.BufferControl(callerReceiveBytes, callerSendBytes)
		}
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "opening a listener")
		}
		listeners = append(listeners, l)
	}
	m, metrics := openMetrics(s.Metrics, logger)
	calls := &platform.StoreCalls{}
	counters = append(counters, meter.CounterFunc{
		Name: "store_calls", Description: "Calls to the platform's store.", Read: calls.Direct.Load,
	}, meter.CounterFunc{
		Name: "store_calls_relayed", Description: "Calls to the platform's store that another instance was asked to make.",
		Read: calls.Relayed.Load,
	}, meter.CounterFunc{
		Name: "store_configuration_bytes", Description: "Bytes that the store has answered to reads and watches of the configuration.",
		Read: calls.ConfigurationBytes.Load,
	}, meter.CounterFunc{
		Name: "store_member_bytes", Description: "Bytes that the store has answered to reads of the members' entries.",
		Read: calls.MemberBytes.Load,
	}, meter.CounterFunc{
		Name: "store_fleet_bytes", Description: "Bytes that the store has answered to reads and watches of the instances and owner records.",
		Read: calls.FleetBytes.Load,
	})
	direct := platform.NewDirectCaller(s.Store)
	return node.New(node.Settings{
		Meter: m, Metrics: metrics, Counters: counters,
		Self: fleet.Instance{
			ID: s.Instance, PeerAddress: s.Peers, DataCentre: s.DataCentre, State: fleet.Live,
			Incarnation: fleet.Incarnation(time.Now().UnixMilli()), Processor: s.Processor,
		},
		Peers: listeners[0], HTTP: listeners[1], Callers: listeners[2],
		Seeds:         s.Seeds,
		NewCallerConn: func(c net.Conn) front.CallerConn { return platform.NewCallerConn(c) },
		Store: func(relay node.StoreCaller) node.Store {
			return platform.NewStore(direct, relay, calls)
		},
		Formats:       platform.Formats(),
		Dialer:        platform.MemberDialer{Instance: s.Instance},
		Promoter:      platform.Promoter{Address: s.Promotion, Instance: s.Instance},
		Clock:         clock.Boot(),
		Logger:        logger,
		RequestLogger: requests,
		Grace:         s.Grace,
		Budget:        budget.LimitsFor(budget.Bytes(s.Memory), s.Descriptors),
		RevokeLimit:   s.RevokeLimit,
		LimitPeriod:   s.LimitPeriod,
	}), nil
}

// openMetrics creates the meter and opens the listener for metrics. Both are nil when the address is empty or one of them fails;
// the instance then serves callers without metrics.
func openMetrics(address string, logger hclog.Logger) (*meter.Meter, net.Listener) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("metrics are not served: the listener cannot be opened", "error", err)
		return nil, nil
	}
	m, err := meter.New()
	if err != nil {
		logger.Warn("metrics are not served: the meter cannot be created", "error", err)
		_ = listener.Close()
		return nil, nil
	}
	return m, listener
}
