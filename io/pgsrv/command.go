package pgsrv

// command is a statement that the proxy answers without a target.
type command interface {
	isCommand()
}

type assignCommand struct {
	name  string
	value string
}

type resetCommand struct {
	name string
}

type showCommand struct {
	name string
}

// endBlockCommand is a ROLLBACK or COMMIT that ends a transaction block that the proxy has failed.
type endBlockCommand struct{}

// failedBlockCommand is any other statement inside a transaction block that the proxy has failed.
type failedBlockCommand struct{}

// unsupportedCommand is a statement on a pulley setting in an unsupported form, such as SET LOCAL, which has no meaning
// between transactions.
type unsupportedCommand struct {
	remedy string
}

func (assignCommand) isCommand()      {}
func (resetCommand) isCommand()       {}
func (showCommand) isCommand()        {}
func (endBlockCommand) isCommand()    {}
func (failedBlockCommand) isCommand() {}
func (unsupportedCommand) isCommand() {}
