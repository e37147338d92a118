// Command turmericpulley is a database proxy with session consistency.
package main

import (
	"os"

	"turmericpulley/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
