package cmd

// Exit codes of the program.
const (
	// exitOK means that the command did what was asked.
	exitOK = 0
	// exitFailed means that the command ran and failed.
	exitFailed = 1
	// exitUsage means that arguments or settings cannot be used.
	exitUsage = 2
	// exitConflict means that another operator's change came first.
	exitConflict = 3
	// exitPending means that a change is stored but not yet in force everywhere.
	exitPending = 4
	// exitUnknown means that the outcome could not be learned.
	exitUnknown = 5
)
