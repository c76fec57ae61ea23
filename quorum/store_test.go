package quorum_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/quorum"
)

var (
	now = time.Unix(5000, 0)
	key = quorum.Key{1}
)

func newStore(node glade.Node, inc uint64, limit int) *quorum.Store {
	return quorum.NewStore(quorum.StoreConfig{
		Self: node, Incarnation: inc, Nodes: []glade.Node{"a", "b", "c"}, Start: now, Window: window, MaxRecords: limit,
	})
}

func newClaim(k quorum.Key, token uint64, expect map[glade.Node]uint64) quorum.Claim {
	return quorum.Claim{Key: k, Token: token, Node: "a", Window: window.Milliseconds(), MaxKeyAgeMs: window.Milliseconds(), Incarnations: expect}
}

// expectVote makes a claim and checks the kind of the vote on it.
func expectVote(t *testing.T, s *quorum.Store, at time.Time, c quorum.Claim, state quorum.VoteState) {
	t.Helper()
	qt.Check(t, s.Claim(at, c).State, qt.Equals, state)
}

func TestClaimForAnEndedIncarnationIsStale(t *testing.T) {
	b := newStore("b", 1, 10)
	b.ReadPage(now, quorum.CopyRequest{Node: "a", Incarnation: 2})
	expectVote(t, b, now, newClaim(key, 7, map[glade.Node]uint64{"a": 1, "b": 1}), quorum.Stale)
	expectVote(t, b, now, newClaim(key, 7, map[glade.Node]uint64{"a": 2, "b": 1}), quorum.Incomplete)
}

func newRendezvous() *quorum.Rendezvous {
	return quorum.NewRendezvous([]quorum.Member{quorum.NewMember("a", "z"), quorum.NewMember("b", "y"), quorum.NewMember("c", "x")})
}

func TestVoteOfAnotherIncarnationDoesNotCount(t *testing.T) {
	attempt := quorum.NewAttempt(quorum.AttemptConfig{
		Voters: newRendezvous().Voters(key, "z", "b"),
		Claim:  newClaim(key, 7, map[glade.Node]uint64{"a": 1, "b": 1}),
	})
	attempt.Add(quorum.Vote{Node: "b", Incarnation: 1, State: quorum.Granted})
	attempt.Add(quorum.Vote{Node: "a", Incarnation: 2, State: quorum.Granted})
	qt.Check(t, attempt.Verdict(), qt.Equals, quorum.Undecided)
	attempt.Add(quorum.Vote{Node: "a", Incarnation: 1, State: quorum.Granted})
	qt.Check(t, attempt.Verdict(), qt.Equals, quorum.Won)
}

// expectStillRecorded copies a record of a key that is already recorded for another
// request, releases one of the two requests, and checks that the key stays
// recorded: the other request may have run.
func expectStillRecorded(t *testing.T, own, copied, released uint64) {
	t.Helper()
	a := newStore("a", 2, 10)
	expectVote(t, a, now, newClaim(key, own, nil), quorum.Incomplete)
	a.Merge(now, quorum.CopyPage{Node: "b", Incarnation: 1, Records: []quorum.Record{
		{Key: key, Token: copied, Node: "b", ExpiryMs: now.Add(window).UnixMilli()},
	}})
	a.Release(key, released)
	expectVote(t, a, now, newClaim(key, 9, nil), quorum.HeldByOther)
}

func TestReleaseKeepsARecordOfTwoRequests(t *testing.T) {
	expectStillRecorded(t, 1, 2, 1)
	expectStillRecorded(t, 1, 2, 2)
}

func TestRecordsExpire(t *testing.T) {
	a := newStore("a", 1, 1)
	expectVote(t, a, now, newClaim(key, 1, nil), quorum.Incomplete)
	expectVote(t, a, now.Add(window-time.Second), newClaim(key, 2, nil), quorum.HeldByOther)
	expectVote(t, a, now, newClaim(quorum.Key{2}, 3, nil), quorum.Full)
	expectVote(t, a, now.Add(window+2*time.Second), newClaim(quorum.Key{2}, 3, nil), quorum.Granted)
	qt.Check(t, a.Len(), qt.Equals, 1)
}

func TestHistoryIsCompleteForAKeySentAfterTheStart(t *testing.T) {
	recentClaim := newClaim(key, 1, nil)
	recentClaim.MaxKeyAgeMs = maxInFlight.Milliseconds()
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight-1), recentClaim, quorum.Incomplete)
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight), recentClaim, quorum.Granted)
	expectVote(t, newStore("a", 1, 10), now.Add(maxInFlight), newClaim(key, 1, nil), quorum.Incomplete)
}

func TestCopiedHistoryReachesBackAsFarAsItsSources(t *testing.T) {
	later := now.Add(time.Minute)
	recentClaim := newClaim(key, 1, nil)
	recentClaim.MaxKeyAgeMs = maxInFlight.Milliseconds()
	for _, since := range []time.Time{now, later} {
		restarted := quorum.NewStore(quorum.StoreConfig{
			Self: "a", Incarnation: 2, Nodes: []glade.Node{"a", "b", "c"}, Start: later, Window: window, MaxRecords: 10,
		})
		restarted.MarkCopied("b", time.Time{})
		want := quorum.Incomplete
		expectVote(t, restarted, later, newClaim(quorum.Key{3}, 3, nil), want)
		restarted.MarkCopied("c", since)
		if since == now {
			want = quorum.Granted
		}
		expectVote(t, restarted, later, recentClaim, want)
	}
}
