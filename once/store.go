package once

import (
	"time"

	glade "indigoglade"
)

// Claim asks an entry host to grant a key to one send.
type Claim struct {
	Key Key `json:"key"`
	// Token names the send. It is not 0.
	Token uint64 `json:"token"`
	// Node is the entry host that claims.
	Node glade.Node `json:"node"`
	// Window is how long the key is remembered, in milliseconds.
	Window int64 `json:"window"`
	// Settle is how long ago the key may have been sent first, in milliseconds.
	// An entry host that started longer ago needs no older history.
	Settle int64 `json:"settle"`
	// Expect holds the incarnations of the entry hosts that the claim rests on.
	Expect map[glade.Node]uint64 `json:"expect"`
}

// State is an entry host's answer to a claim.
type State string

// States of a vote.
const (
	// Granted means that the key is recorded for the claim, by an entry host
	// with whole history.
	Granted State = "granted"
	// Blank means that it is recorded by an entry host whose history is not
	// whole for the key.
	Blank State = "blank"
	// Seen means that the key is recorded for another send.
	Seen State = "seen"
	// Stale means that the claim rests on an incarnation that has ended.
	Stale State = "stale"
	// Full means that there is no room for another record.
	Full State = "full"
)

// Vote is the answer of one entry host to a claim.
type Vote struct {
	Node  glade.Node `json:"node"`
	Inc   uint64     `json:"inc"`
	State State      `json:"state"`
	// Holder and Token name the send that a Seen vote is about.
	Holder glade.Node `json:"holder,omitempty"`
	Token  uint64     `json:"token,omitempty"`
}

// Record is the memory of one key.
type Record struct {
	Key    Key        `json:"key"`
	Token  uint64     `json:"token"`
	Node   glade.Node `json:"node"`
	Expiry int64      `json:"expiry"` // milliseconds since 1970
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Self glade.Node
	// Inc is the incarnation; it rises with each start.
	Inc   uint64
	Nodes []glade.Node
	Start time.Time
	// Window is the longest time that any key is remembered.
	Window time.Duration
	// Limit bounds the number of records.
	Limit int
}

// Store holds the keys that one entry host granted. It is not safe for
// concurrent use.
type Store struct {
	config  StoreConfig
	records map[Key]Record
	// due lists keys by the second in which they expire.
	due    map[int64][]Key
	swept  int64
	seen   map[glade.Node]uint64
	copied map[glade.Node]time.Time
}

// NewStore returns the store of an entry host that has just started. Its
// history is not whole, unless there is no other entry host.
func NewStore(config StoreConfig) *Store {
	return &Store{
		config:  config,
		records: make(map[Key]Record),
		due:     make(map[int64][]Key),
		swept:   config.Start.Unix(),
		seen:    map[glade.Node]uint64{config.Self: config.Inc},
		copied:  make(map[glade.Node]time.Time),
	}
}

// Inc returns the entry host's own incarnation.
func (s *Store) Inc() uint64 { return s.seen[s.config.Self] }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// IsWhole tells whether every key that this entry host granted in an earlier
// incarnation is recorded.
func (s *Store) IsWhole(now time.Time) bool {
	return now.Sub(s.since()) >= s.config.Window
}

// since returns the moment after which every key that this entry host granted
// is recorded: its start, or an earlier one when it has copied the records of
// all others. A key that was granted has a record at another entry host too,
// so the copies are complete as far back as each of them was.
//
//	e1 starts at 12:00 and copies from e2, whole since 11:30, and from e3, whole
//	since 11:50: e1 is whole since 11:50
func (s *Store) since() time.Time {
	if len(s.copied) < len(s.config.Nodes)-1 {
		return s.config.Start
	}
	var latest time.Time
	for _, since := range s.copied {
		if since.After(latest) {
			latest = since
		}
	}
	if latest.After(s.config.Start) {
		return s.config.Start
	}
	return latest
}

// Expect returns the incarnations that the entry host knows of.
func (s *Store) Expect() map[glade.Node]uint64 {
	expect := make(map[glade.Node]uint64, len(s.seen))
	for node, inc := range s.seen {
		expect[node] = inc
	}
	return expect
}

// Learn takes up the incarnation of another entry host.
func (s *Store) Learn(node glade.Node, inc uint64) {
	s.seen[node] = max(s.seen[node], inc)
}

// Claim records the key for the claim if it may, and returns the vote. A claim
// repeated gets the same vote.
func (s *Store) Claim(now time.Time, c Claim) Vote {
	s.sweep(now)
	vote := Vote{Node: s.config.Self, Inc: s.Inc()}
	if s.isStale(c.Expect) {
		vote.State = Stale
		return vote
	}
	if known, ok := s.records[c.Key]; ok && known.Token != c.Token {
		vote.State, vote.Holder, vote.Token = Seen, known.Node, known.Token
		return vote
	}
	if _, ok := s.records[c.Key]; !ok && len(s.records) >= s.config.Limit {
		vote.State = Full
		return vote
	}
	s.put(Record{Key: c.Key, Token: c.Token, Node: c.Node, Expiry: now.UnixMilli() + c.Window})
	age := now.Sub(s.since()).Milliseconds()
	vote.State = Blank
	if s.IsWhole(now) || age >= min(c.Window, c.Settle) {
		vote.State = Granted
	}
	return vote
}

// isStale tells whether one of the incarnations has ended. An entry host that
// started again copies the records of the others; a grant made after the copy
// must not be joined with one that the ended incarnation made before it:
//
//	A(1) grants, A starts again, A(2) copies from B, B grants -> A(1)+B is void
func (s *Store) isStale(expect map[glade.Node]uint64) bool {
	for node, inc := range expect {
		if s.seen[node] > inc {
			return true
		}
	}
	for node, inc := range expect {
		s.Learn(node, inc)
	}
	return false
}

// Release forgets a key that was granted to a send that did not run and never
// will.
func (s *Store) Release(key Key, token uint64) {
	if known, ok := s.records[key]; ok && known.Token == token && token != shared {
		delete(s.records, key)
	}
}

// shared is the token of a record that two sends were found to hold. No
// release matches it, so that the key stays recorded until it expires.
const shared = 0

// put records a key. Of two sends that hold it, one may run and the other be
// released, and it can't be told which: the record must outlive the release.
func (s *Store) put(r Record) {
	if known, ok := s.records[r.Key]; ok {
		if known.Token != r.Token {
			known.Token = shared
			s.records[r.Key] = known
		}
		return
	}
	s.records[r.Key] = r
	second := r.Expiry/millisPerSecond + 1
	s.due[second] = append(s.due[second], r.Key)
}

const millisPerSecond = 1000

// sweep forgets expired records. Each second's list is looked at once.
func (s *Store) sweep(now time.Time) {
	until := now.Unix()
	if until-s.swept > int64(len(s.due)) {
		s.sweepSparse(until)
		return
	}
	for ; s.swept < until; s.swept++ {
		s.drop(s.swept+1, until)
	}
}

// sweepSparse sweeps after a long time without claims.
func (s *Store) sweepSparse(until int64) {
	for second := range s.due {
		if second <= until {
			s.drop(second, until)
		}
	}
	s.swept = until
}

func (s *Store) drop(second, until int64) {
	for _, key := range s.due[second] {
		if r, ok := s.records[key]; ok && r.Expiry <= until*millisPerSecond {
			delete(s.records, key)
		}
	}
	delete(s.due, second)
}
