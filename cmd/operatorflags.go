package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/io/admin"
)

const (
	columnPadding = 2
	// maxOperatorBytes bounds the operator's name in a contract.
	maxOperatorBytes = 64
)

// operatorFlags are the flags that all operators' commands share.
type operatorFlags struct {
	platform string
	json     bool
	timeout  time.Duration
}

func newOperatorFlags(clause *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	clause.Flag("platform", "Base URL of the platform.").
		Envar(environmentPrefix + "PLATFORM").StringVar(&f.platform)
	clause.Flag("json", "Write JSON instead of text.").Envar(environmentPrefix + "JSON").BoolVar(&f.json)
	clause.Flag("timeout", "Maximum wait for the store, and again for the instances.").
		Envar(environmentPrefix + "TIMEOUT").Default(admin.DefaultTimeout.String()).DurationVar(&f.timeout)
	return f
}

func (f *operatorFlags) newClient() (*admin.Client, error) {
	if f.platform == "" {
		return nil, fault.New(fault.InvalidSettings, "the URL of the platform is missing, give --platform URL")
	}
	if f.timeout <= 0 {
		return nil, fault.New(fault.InvalidSettings, "the timeout must be above zero")
	}
	return admin.New(admin.Settings{Platform: f.platform, Timeout: f.timeout, Operator: operatorName()})
}

// operatorName returns the name of the user who runs the program, for the history of contracts.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username[:min(len(current.Username), maxOperatorBytes)]
}

// reportError prints an error and returns its exit code.
func reportError(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, err)
	f := fault.From(err)
	if f != nil && (f.Kind == fault.InvalidContract || f.Kind == fault.InvalidSettings) {
		return exitUsage
	}
	return exitFailed
}

// printJSON writes a value as indented JSON and returns the given exit code, or that of a failure to encode.
func printJSON(out, errOut io.Writer, value any, code int) int {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return reportError(errOut, errors.Wrap(err, "encoding the result"))
	}
	_, _ = fmt.Fprintln(out, string(data))
	return code
}

// printTable writes rows in aligned columns.
func printTable(out io.Writer, rows [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}

// readContractFile reads a contract from a file, or from standard input when the path is "-".
func readContractFile(path string) (policy.Contract, error) {
	source := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return policy.Contract{}, fault.New(fault.InvalidSettings, err.Error())
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, policy.MaxDocumentBytes+1))
	if err != nil {
		return policy.Contract{}, errors.Wrap(err, "reading the contract")
	}
	return policy.ParseContract(data)
}
