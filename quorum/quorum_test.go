package quorum_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/quorum"
	"indigoglade/seeds"
)

// TestMain sets default values for rapid's seed, checks and steps. Flags on the
// command line override them, because they are parsed afterwards.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "120")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	window           = 10 * time.Minute
	contractDeadline = 3 * time.Second
	maxInFlight      = 2 * contractDeadline
)

// message is a message in flight between two entry hosts. handle runs when it
// is delivered, onLost when it is dropped.
type message struct {
	from, to glade.Node
	handle   func()
	onLost   func()
}

// request is one request of a key: its claim with the votes, and the number of
// votes that are still missing.
type request struct {
	key      quorum.Key
	node     glade.Node
	inc      uint64
	deadline time.Time
	attempt  *quorum.Attempt
	missing  int
}

// cluster simulates a set of entry hosts and the messages between them. Messages
// arrive in any order, or never; entry hosts restart at any time.
type cluster struct {
	now          time.Time
	strict       bool
	home         glade.Zone
	nodes        []glade.Node
	zones        map[glade.Node]glade.Zone
	rendezvous   *quorum.Rendezvous
	stores       map[glade.Node]*quorum.Store
	generations  map[glade.Node]int
	inFlight     []message
	cutZone      glade.Zone
	tokens       uint64
	firstSent    map[quorum.Key]time.Time
	firstDelayed map[quorum.Key]bool
	runs         map[quorum.Key]int
	incarnation  uint64
	failure      string
}

func newCluster(n int, strict bool) *cluster {
	c := &cluster{
		now: time.Unix(1_000_000, 0), strict: strict, zones: map[glade.Node]glade.Zone{},
		stores: map[glade.Node]*quorum.Store{}, generations: map[glade.Node]int{},
		firstSent: map[quorum.Key]time.Time{}, firstDelayed: map[quorum.Key]bool{}, runs: map[quorum.Key]int{},
	}
	var members []quorum.Member
	for i := range n {
		node, zone := glade.Node(fmt.Sprint("e", i)), glade.Zone(fmt.Sprint("z", i%3))
		c.nodes = append(c.nodes, node)
		c.zones[node] = zone
		members = append(members, quorum.NewMember(node, zone))
	}
	c.rendezvous = quorum.NewRendezvous(members)
	for _, node := range c.nodes {
		c.start(node)
	}
	c.now = c.now.Add(window)
	c.inFlight = nil
	return c
}

func (c *cluster) start(node glade.Node) {
	c.incarnation++
	c.generations[node]++
	c.stores[node] = quorum.NewStore(quorum.StoreConfig{
		Self: node, Incarnation: c.incarnation, Nodes: c.nodes, Start: c.now, Window: window, MaxRecords: 100,
	})
	for _, peer := range c.nodes {
		if peer != node {
			c.copyPage(node, peer, 0, time.Time{})
		}
	}
}

// queueCall queues a message that calls another entry host. onLost runs only if
// the sender has not restarted since.
func (c *cluster) queueCall(from, to glade.Node, handle, onLost func()) {
	generation := c.generations[from]
	ifSameGeneration := func(f func()) func() {
		return func() {
			if c.generations[from] == generation {
				f()
			}
		}
	}
	c.inFlight = append(c.inFlight, message{from: from, to: to, handle: handle, onLost: ifSameGeneration(onLost)})
}

// queueReply queues a reply to a call. handle and onLost run only if the receiver
// is still in the generation that made the call, without a restart since.
func (c *cluster) queueReply(from, to glade.Node, generation int, handle, onLost func()) {
	c.inFlight = append(c.inFlight, message{from: from, to: to, handle: func() {
		if c.generations[to] == generation {
			handle()
		}
	}, onLost: func() {
		if c.generations[to] == generation {
			onLost()
		}
	}})
}

// copyPage requests one page of a peer's records. It stops after page 1, because the
// keys that the test uses lie on pages 0 and 1.
func (c *cluster) copyPage(node, peer glade.Node, page int, since time.Time) {
	request := quorum.CopyRequest{Node: node, Incarnation: c.stores[node].Incarnation(), Page: page}
	generation := c.generations[node]
	restart := func() { c.copyPage(node, peer, 0, time.Time{}) }
	c.queueCall(node, peer, func() {
		answer := c.stores[peer].ReadPage(c.now, request)
		c.queueReply(peer, node, generation, func() {
			c.stores[node].Merge(c.now, answer)
			if pageSince := answer.CompleteSince(c.now); pageSince.After(since) {
				since = pageSince
			}
			if page == 0 {
				c.copyPage(node, peer, 1, since)
				return
			}
			c.stores[node].MarkCopied(peer, since)
		}, restart)
	}, restart)
}

func (c *cluster) startRequest(node glade.Node, key quorum.Key, age time.Duration) {
	c.tokens++
	r := &request{key: key, node: node, deadline: c.now.Add(contractDeadline)}
	r.attempt = quorum.NewAttempt(quorum.AttemptConfig{
		Voters: c.rendezvous.Voters(key, c.home, node),
		Claim: quorum.Claim{
			Key: key, Token: c.tokens, Node: node, Window: window.Milliseconds(), MaxKeyAgeMs: (maxInFlight + age).Milliseconds(),
			Incarnations: c.stores[node].Incarnations(),
		},
	})
	c.askVoters(r)
}

func (c *cluster) askVoters(r *request) {
	claim := r.attempt.Claim()
	generation := c.generations[r.node]
	voters := r.attempt.Targets()
	r.missing = len(voters)
	for _, peer := range voters {
		if peer == r.node {
			c.countVote(r, c.stores[peer].Claim(c.now, claim))
			continue
		}
		lost := func() { c.countVote(r, quorum.Vote{}) }
		c.queueCall(r.node, peer, func() {
			vote := c.stores[peer].Claim(c.now, claim)
			c.queueReply(peer, r.node, generation, func() {
				c.stores[r.node].RecordIncarnation(vote.Node, vote.Incarnation)
				if claim.Incarnations[vote.Node] == r.attempt.Claim().Incarnations[vote.Node] {
					c.countVote(r, vote)
				}
			}, lost)
		}, lost)
	}
}

func (c *cluster) countVote(r *request, vote quorum.Vote) {
	if r.missing <= 0 {
		return
	}
	r.missing--
	if !c.now.Before(r.deadline) && !c.strict {
		r.missing = 0
		c.release(r)
		return
	}
	r.attempt.Add(vote)
	verdict := r.attempt.Verdict()
	switch {
	case verdict == quorum.Won:
		r.missing = 0
		c.recordRun(r)
	case verdict == quorum.Lost:
		r.missing = 0
		c.release(r)
	case r.missing == 0 && !r.attempt.AsksAll():
		r.attempt.AskAll(c.stores[r.node].Incarnations())
		c.askVoters(r)
	case r.missing == 0:
		c.release(r)
	}
}

func (c *cluster) recordRun(r *request) {
	c.runs[r.key]++
	if c.runs[r.key] > 1 {
		c.failure = fmt.Sprintf("key %x ran twice, the second time at %s", r.key[:1], r.node)
	}
}

func (c *cluster) release(r *request) {
	claim := r.attempt.Claim()
	for _, peer := range r.attempt.Targets() {
		if peer == r.node {
			c.stores[peer].Release(claim.Key, claim.Token)
			continue
		}
		c.queueCall(r.node, peer, func() { c.stores[peer].Release(claim.Key, claim.Token) }, func() {})
	}
}

func (c *cluster) pop(t *rapid.T) message {
	if len(c.inFlight) == 0 {
		t.Skip("no message in flight")
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
	m := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	return m
}

func (c *cluster) deliver(m message) {
	if c.cutZone != "" && (c.zones[m.from] == c.cutZone) != (c.zones[m.to] == c.cutZone) {
		m.onLost()
		return
	}
	m.handle()
}

// statedAge returns the age of the key that the caller states with its next
// request. A resend may overtake the first request by the contract deadline at most.
// In a strict cluster callers state no age, so that the whole window is assumed.
func (c *cluster) statedAge(t *rapid.T, key quorum.Key) time.Duration {
	first, known := c.firstSent[key]
	if !known {
		c.firstSent[key] = c.now
		c.firstDelayed[key] = rapid.Bool().Draw(t, "late")
	}
	switch {
	case c.strict:
		return window
	case !known && !c.firstDelayed[key]:
		return 0
	case known && c.firstDelayed[key] && c.now.Sub(first) < contractDeadline && rapid.Bool().Draw(t, "arrives"):
		c.firstDelayed[key] = false
		return 0
	}
	return c.now.Sub(c.firstSent[key])
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	deliver := func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			c.deliver(c.pop(t))
		}
	}
	return map[string]func(*rapid.T){
		"deliver": deliver, "deliver2": deliver, "deliver3": deliver,
		"drop": func(t *rapid.T) { c.pop(t).onLost() },
		"send": func(t *rapid.T) {
			key := quorum.Key{byte(rapid.IntRange(0, 1).Draw(t, "key"))}
			node := rapid.SampledFrom(c.nodes).Draw(t, "node")
			c.startRequest(node, key, c.statedAge(t, key))
		},
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
				c.start(rapid.SampledFrom(c.nodes).Draw(t, "node"))
			}
		},
		"cut": func(t *rapid.T) {
			c.cutZone = rapid.SampledFrom([]glade.Zone{"", "", "z0", "z1", "z2"}).Draw(t, "zone")
		},
		"wait": func(t *rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			if c.failure != "" {
				t.Fatal(c.failure)
			}
		},
	}
}

// expectAtMostOnce checks that no key runs twice while entry hosts claim two keys
// repeatedly and restart, zones are cut off, and messages are delayed, reordered
// or lost. It also checks that enough keys ran for the result to mean something:
// more than 40 over all schedules.
func expectAtMostOnce(t *testing.T, name string, n int, strict bool, home glade.Zone) {
	t.Run(fmt.Sprint(name, n), func(t *testing.T) {
		ran := 0
		seeds.Check(t, 300, func(t *rapid.T) {
			c := newCluster(n, strict)
			c.home = home
			t.Repeat(c.actions())
			ran += len(c.runs)
		})
		qt.Check(t, ran > 40, qt.IsTrue, qt.Commentf("only %d keys ran; expected more than 40", ran))
	})
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	for _, n := range []int{3, 4, 7, 9} {
		expectAtMostOnce(t, "strict", n, true, "")
		expectAtMostOnce(t, "marked", n, false, "")
		expectAtMostOnce(t, "home strict", n, true, "z1")
		expectAtMostOnce(t, "home marked", n, false, "z1")
	}
}
