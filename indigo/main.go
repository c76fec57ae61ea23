// Command indigo is the command-line tool for operators.
package main

import (
	"os"

	"indigoglade/indigo/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
