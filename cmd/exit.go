package cmd

// Exit codes of the program.
const (
	// exitOK means that the command succeeded.
	exitOK = 0
	// exitFailed means that the command ran and failed.
	exitFailed = 1
	// exitUsage means that arguments, settings or a contract are invalid.
	exitUsage = 2
	// exitConflict means that the contract is no longer the version that a change is based on, and that the change was not stored.
	exitConflict = 3
	// exitPending means that a change is stored but not confirmed to be in force at all instances.
	exitPending = 4
	// exitUnknown means that it could not be determined whether a change was stored.
	exitUnknown = 5
)
