package cmd

import (
	"io"
	"sync"

	"github.com/alecthomas/kingpin/v2"
)

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "TURMERICPULLEY_"

// command is one command of the program.
type command interface {
	// run executes the command and returns the exit code; errOut is the error output.
	run(out, errOut io.Writer) int
}

// disableFileExpansion keeps an @ in front of an argument, which may be an id that a client chose, from naming a file with arguments. The
// library has one setting for the whole process, which other calls of Execute may be reading.
var disableFileExpansion = sync.OnceFunc(func() { kingpin.EnableFileExpansion = false })

// Execute parses the arguments, runs the command that they name and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	disableFileExpansion()
	app := kingpin.New("turmericpulley", "A database proxy with session consistency.")
	app.UsageWriter(errOut)
	app.ErrorWriter(errOut)
	commands := map[string]command{}
	register(app, commands)
	name, err := app.Parse(arguments)
	if err != nil {
		app.Errorf("%v, try --help", err)
		return exitUsage
	}
	return commands[name].run(out, errOut)
}
