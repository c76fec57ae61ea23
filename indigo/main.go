// Command indigo is the operators' command line.
package main

import (
	"os"

	"indigoglade/indigo/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
