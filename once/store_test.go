package once_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/once"
)

var (
	now = time.Unix(5000, 0)
	key = once.Key{1}
)

func newStore(node glade.Node, inc uint64, limit int) *once.Store {
	return once.NewStore(once.StoreConfig{
		Self: node, Incarnation: inc, Nodes: []glade.Node{"a", "b", "c"}, Start: now, Window: window, MaxRecords: limit,
	})
}

func newClaim(k once.Key, token uint64, expect map[glade.Node]uint64) once.Claim {
	return once.Claim{Key: k, Token: token, Node: "a", Window: window.Milliseconds(), MaxKeyAgeMs: window.Milliseconds(), Incarnations: expect}
}

// expectVote makes a claim and checks the kind of the vote on it.
func expectVote(t *testing.T, s *once.Store, at time.Time, c once.Claim, state once.VoteState) {
	t.Helper()
	qt.Check(t, s.Claim(at, c).State, qt.Equals, state)
}

func TestClaimForAnEndedIncarnationIsStale(t *testing.T) {
	b := newStore("b", 1, 10)
	b.ReadPage(now, once.CopyRequest{Node: "a", Incarnation: 2})
	expectVote(t, b, now, newClaim(key, 7, map[glade.Node]uint64{"a": 1, "b": 1}), once.Stale)
	expectVote(t, b, now, newClaim(key, 7, map[glade.Node]uint64{"a": 2, "b": 1}), once.Incomplete)
}

func newRendezvous() *once.Rendezvous {
	return once.NewRendezvous([]once.Member{once.NewMember("a", "z"), once.NewMember("b", "y"), once.NewMember("c", "x")})
}

func TestVoteOfAnotherIncarnationDoesNotCount(t *testing.T) {
	attempt := once.NewAttempt(once.AttemptConfig{
		Voters: newRendezvous().Voters(key, "z", "b"),
		Claim:  newClaim(key, 7, map[glade.Node]uint64{"a": 1, "b": 1}),
	})
	attempt.Add(once.Vote{Node: "b", Incarnation: 1, State: once.Granted})
	attempt.Add(once.Vote{Node: "a", Incarnation: 2, State: once.Granted})
	qt.Check(t, attempt.Verdict(), qt.Equals, once.Undecided)
	attempt.Add(once.Vote{Node: "a", Incarnation: 1, State: once.Granted})
	qt.Check(t, attempt.Verdict(), qt.Equals, once.Won)
}

// expectStillRecorded copies a record of a key that is already recorded for another
// request, releases one of the two requests, and checks that the key stays
// recorded: the other request may have run.
func expectStillRecorded(t *testing.T, own, copied, released uint64) {
	t.Helper()
	a := newStore("a", 2, 10)
	expectVote(t, a, now, newClaim(key, own, nil), once.Incomplete)
	a.Merge(now, once.CopyPage{Node: "b", Incarnation: 1, Records: []once.Record{
		{Key: key, Token: copied, Node: "b", ExpiryMs: now.Add(window).UnixMilli()},
	}})
	a.Release(key, released)
	expectVote(t, a, now, newClaim(key, 9, nil), once.HeldByOther)
}

func TestReleaseKeepsARecordOfTwoRequests(t *testing.T) {
	expectStillRecorded(t, 1, 2, 1)
	expectStillRecorded(t, 1, 2, 2)
}

func TestRecordsExpire(t *testing.T) {
	a := newStore("a", 1, 1)
	expectVote(t, a, now, newClaim(key, 1, nil), once.Incomplete)
	expectVote(t, a, now.Add(window-time.Second), newClaim(key, 2, nil), once.HeldByOther)
	expectVote(t, a, now, newClaim(once.Key{2}, 3, nil), once.Full)
	expectVote(t, a, now.Add(window+2*time.Second), newClaim(once.Key{2}, 3, nil), once.Granted)
	qt.Check(t, a.Len(), qt.Equals, 1)
}

func TestHistoryIsCompleteForAKeySentAfterTheStart(t *testing.T) {
	recentClaim := newClaim(key, 1, nil)
	recentClaim.MaxKeyAgeMs = maxInFlight.Milliseconds()
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight-1), recentClaim, once.Incomplete)
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight), recentClaim, once.Granted)
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight), newClaim(key, 1, nil), once.Incomplete)
}

func TestCopiedHistoryReachesBackAsFarAsItsSources(t *testing.T) {
	later := now.Add(time.Minute)
	recentClaim := newClaim(key, 1, nil)
	recentClaim.MaxKeyAgeMs = maxInFlight.Milliseconds()
	for _, since := range []time.Time{now, later} {
		restarted := once.NewStore(once.StoreConfig{
			Self: "a", Incarnation: 2, Nodes: []glade.Node{"a", "b", "c"}, Start: later, Window: window, MaxRecords: 10,
		})
		restarted.MarkCopied("b", time.Time{})
		want := once.Incomplete
		expectVote(t, restarted, later, newClaim(once.Key{3}, 3, nil), want)
		restarted.MarkCopied("c", since)
		if since == now {
			want = once.Granted
		}
		expectVote(t, restarted, later, recentClaim, want)
	}
}
