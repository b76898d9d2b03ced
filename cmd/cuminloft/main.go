// Command cuminloft is the scheduler's only binary: the entry host's daemon and
// the command-line client.
package main

import (
	"os"

	"cuminloft/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
