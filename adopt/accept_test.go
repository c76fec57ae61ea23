package adopt_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/memory"
)

func expectAll(t *testing.T, table glade.Table, want glade.CommitResult, offers ...adopt.Offer) adopt.Acceptance {
	t.Helper()
	got, err := adopt.AcceptAll(t.Context(), table, offers)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Result(), qt.Equals, want)
	return got
}

func TestAcceptAllOrNone(t *testing.T) {
	table := memory.NewTable()
	expectAccept(t, table, "studio", 0, glade.Committed, 1)

	got := expectAll(t, table, glade.Conflicted, adopt.Offer{Spec: spec("dealers")}, adopt.Offer{Spec: spec("studio")})
	qt.Assert(t, got.Customer(), qt.Equals, glade.Customer("studio"))
	expectRefresh(t, table, adopt.New(), 1)

	expectAll(t, table, glade.Committed, adopt.Offer{Spec: spec("dealers")}, adopt.Offer{Spec: spec("studio"), BaseVersion: 1})
	registry := adopt.New()
	expectRefresh(t, table, registry, 2)
	qt.Assert(t, registry.Change(), qt.Equals, uint64(3))
}
