package cmds

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/mtls"
)

type keysCommand struct {
	Dir  string `arg:"" help:"Directory to write to; it is created if missing."`
	Days int    `default:"90" help:"Days that the certificates are valid."`
}

// keyDirMode restricts the key directory to its owner.
const keyDirMode = 0o700

// Run issues a key and a certificate for each entry host and keeper of the site.
func (k keysCommand) Run(c *commands, e *env) error {
	if _, err := c.load(e); err != nil {
		return err
	}
	if err := os.MkdirAll(k.Dir, keyDirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	now := clock.System{}.Now()
	issuer, err := mtls.NewIssuer(now.Add(-time.Hour), now.AddDate(0, 0, k.Days))
	if err != nil {
		return err
	}
	var nodes []glade.Node
	for _, spec := range append(e.site.Entries, e.site.Keepers...) {
		if _, err := issuer.Write(k.Dir, spec.Node); err != nil {
			return err
		}
		nodes = append(nodes, spec.Node)
	}
	return e.print(nodes, func(w io.Writer) { fmt.Fprintf(w, "keys for %d processes in %s\n", len(nodes), k.Dir) })
}
