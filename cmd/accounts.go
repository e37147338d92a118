package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/usage"
	"turmericpulley/io/admin"
	"turmericpulley/io/node"
)

// maxAccountsPage bounds the answer of one instance, in bytes. An entry takes about 300.
const maxAccountsPage = 1 << 20

// accountsCommand shows what the client accounts use.
type accountsCommand struct {
	metrics []string
	json    bool
	timeout time.Duration
}

func newAccountsCommand(app *kingpin.Application, commands map[string]command) {
	c := &accountsCommand{}
	clause := app.Command("accounts", "Show what the client accounts use, with their limits and refusals, over all instances that are given.")
	clause.Flag("metrics", "Metrics address of an instance, as its flag --metrics names it; may be repeated.").Required().StringsVar(&c.metrics)
	clause.Flag("json", "Write JSON instead of text.").Envar(environmentPrefix + "JSON").BoolVar(&c.json)
	clause.Flag("timeout", "Maximum wait for the instances.").Envar(environmentPrefix + "TIMEOUT").Default(admin.DefaultTimeout.String()).
		DurationVar(&c.timeout)
	commands[clause.FullCommand()] = c
}

func (c *accountsCommand) run(out, errOut io.Writer) int {
	if c.timeout <= 0 {
		return reportError(errOut, fault.New(fault.InvalidSettings, "the timeout must be above zero"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var group sync.WaitGroup
	pages, failures := make([][]usage.Entry, len(c.metrics)), make([]error, len(c.metrics))
	for i, address := range c.metrics {
		group.Go(func() { pages[i], failures[i] = readAccounts(ctx, address) })
	}
	group.Wait()
	var entries []usage.Entry
	code := exitOK
	for i, page := range pages {
		if failures[i] != nil {
			_, _ = fmt.Fprintf(errOut, "no answer from %s: %v\n", c.metrics[i], failures[i])
			code = exitFailed
		}
		entries = append(entries, page...)
	}
	entries = usage.Largest(entries)
	if c.json {
		return printJSON(out, errOut, entries, code)
	}
	printAccounts(out, entries)
	return code
}

func readAccounts(ctx context.Context, address string) ([]usage.Entry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+node.AccountsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "asking for the accounts")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "asking for the accounts")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the answer has the status %d", response.StatusCode)
	}
	var entries []usage.Entry
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAccountsPage)).Decode(&entries); err != nil {
		return nil, errors.Wrap(err, "reading the accounts")
	}
	return entries, nil
}

func printAccounts(out io.Writer, entries []usage.Entry) {
	rows := make([][]string, 0, 1+len(entries))
	rows = append(rows, []string{"ACCOUNT", "RATE", "BURST", "ANSWERED", "FAILED", "OVER LIMIT", "NOT PROVED", "MEDIAN", "P99", "CONNECTIONS"})
	for _, e := range entries {
		rate, burst := "-", "-"
		if e.Limited {
			rate, burst = strconv.FormatFloat(e.Rate, 'g', -1, 64), strconv.FormatFloat(e.Burst, 'g', -1, 64)
		}
		count := func(o usage.Outcome) string { return strconv.FormatUint(e.Outcomes[o], 10) }
		rows = append(rows, []string{
			printable(string(e.Account)), rate, burst, count(usage.Answered), count(usage.Failed), count(usage.OverLimit), count(usage.NotProved),
			latency(e, 0.5), latency(e, 0.99), strconv.Itoa(e.Connections),
		})
	}
	printTable(out, rows)
}

// latency returns the bound of the latency of the part of an account's statements.
func latency(e usage.Entry, part float64) string {
	bound, last := e.Quantile(part), usage.Bounds[len(usage.Bounds)-1]
	switch {
	case bound == 0:
		return "-"
	case bound > last:
		return "> " + last.String()
	default:
		return "<= " + bound.String()
	}
}
