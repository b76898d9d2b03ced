// Command cuminloft is the only binary of the scheduler. It contains the daemon of the
// entry hosts and the command-line client.
package main

import (
	"os"

	"cuminloft/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
