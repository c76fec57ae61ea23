// Command indigo is the command-line tool for operators.
package main

import (
	"os"

	"indigoglade/indigo/internal/cmds"
	"indigoglade/platform/front"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], cmds.Config{Out: os.Stdout, ErrOut: os.Stderr, DecodeBatch: front.DecodeSubmission}))
}
