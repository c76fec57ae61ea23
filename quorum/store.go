package quorum

import (
	"time"

	glade "indigoglade"
)

// Claim asks an entry host to record a key for one request and to vote on it.
type Claim struct {
	Key Key `json:"key"`
	// Token identifies the request that claims the key. It is not 0.
	Token uint64 `json:"token"`
	// Node is the entry host that makes the claim and would run the request.
	Node glade.Node `json:"node"`
	// Window is how long the key stays recorded, in milliseconds.
	Window int64 `json:"window"`
	// MaxKeyAgeMs is the longest time that can have passed since the key was first
	// sent, in milliseconds. An entry host whose history reaches back that far
	// knows every earlier grant of the key.
	MaxKeyAgeMs int64 `json:"settle"`
	// Incarnations maps the entry hosts asked to the incarnations that the
	// claim was made for. Grants of other incarnations do not count.
	Incarnations map[glade.Node]uint64 `json:"expect"`
}

// VoteState is the kind of a vote on a claim.
type VoteState string

// States of a vote.
const (
	// Granted means that the voting entry host recorded the key for the claim,
	// and that its history is complete for the key.
	Granted VoteState = "granted"
	// Incomplete means that the voting entry host recorded the key for the
	// claim, but that its history is incomplete: it may have granted the key to
	// another claim before it restarted. The vote does not count as a grant.
	Incomplete VoteState = "blank"
	// HeldByOther means that the key is already recorded for another request.
	HeldByOther VoteState = "seen"
	// Stale means that the claim was made for an incarnation that has ended.
	Stale VoteState = "stale"
	// Full means that the voting entry host has no room for another record.
	Full VoteState = "full"
)

// Vote is one entry host's answer to a claim.
type Vote struct {
	Node        glade.Node `json:"node"`
	Incarnation uint64     `json:"inc"`
	State       VoteState  `json:"state"`
	// Holder and Token identify the request that has the key, and the entry host
	// that claimed it. They are set only when the key was already recorded for
	// another request.
	Holder glade.Node `json:"holder,omitempty"`
	Token  uint64     `json:"token,omitempty"`
}

// Record says which request a key was granted to, and until when.
type Record struct {
	Key      Key        `json:"key"`
	Token    uint64     `json:"token"`
	Node     glade.Node `json:"node"`
	ExpiryMs int64      `json:"expiry"` // milliseconds since 1970
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Self glade.Node
	// Incarnation is the own incarnation, which must rise with each start.
	Incarnation uint64
	// Nodes are all entry hosts, the own one included.
	Nodes []glade.Node
	Start time.Time
	// Window is the longest time for which any key stays recorded.
	Window time.Duration
	// MaxRecords is the number of records at which claims of further keys are
	// refused. Copied records are added beyond it.
	MaxRecords int
}

// Store holds the keys that one entry host recorded or copied from others. It is
// not safe for concurrent use.
type Store struct {
	config  StoreConfig
	records map[Key]Record
	// expiring lists keys by the second since 1970 at which their records have expired.
	expiring map[int64][]Key
	// sweptSecond is the last second whose list was visited.
	sweptSecond int64
	// incarnations maps entry hosts to their newest known incarnations.
	incarnations map[glade.Node]uint64
	// copiedSince maps each entry host whose records were all copied to the time
	// since when its history is complete.
	copiedSince map[glade.Node]time.Time
}

// NewStore returns the store of an entry host that has just started. Its history
// is incomplete, unless there is no other entry host.
func NewStore(config StoreConfig) *Store {
	return &Store{
		config:       config,
		records:      make(map[Key]Record),
		expiring:     make(map[int64][]Key),
		sweptSecond:  config.Start.Unix(),
		incarnations: map[glade.Node]uint64{config.Self: config.Incarnation},
		copiedSince:  make(map[glade.Node]time.Time),
	}
}

// Incarnation returns the own incarnation, which may have been raised since the start.
func (s *Store) Incarnation() uint64 { return s.incarnations[s.config.Self] }

// Len returns the number of records. Expired ones count until the next sweep.
func (s *Store) Len() int { return len(s.records) }

// IsHistoryComplete reports whether the history is complete: every key that this
// entry host granted in any incarnation and that has not expired is recorded.
func (s *Store) IsHistoryComplete(now time.Time) bool {
	return now.Sub(s.historySince()) >= s.config.Window
}

// historySince returns the time since when the history is complete: this entry
// host's start, or an earlier time when it has copied the records of all others.
// A key that won its claim is recorded at another entry host too, so the copies
// together reach back as far as the history of every source does.
//
//	e1 starts at 12:00 and copies from e2, complete since 11:30, and from e3,
//	complete since 11:50: e1 is complete since 11:50
func (s *Store) historySince() time.Time {
	if len(s.copiedSince) < len(s.config.Nodes)-1 {
		return s.config.Start
	}
	var latest time.Time
	for _, since := range s.copiedSince {
		if since.After(latest) {
			latest = since
		}
	}
	if latest.After(s.config.Start) {
		return s.config.Start
	}
	return latest
}

// Incarnations returns a copy of the newest known incarnations of all entry
// hosts that this one has heard of.
func (s *Store) Incarnations() map[glade.Node]uint64 {
	expect := make(map[glade.Node]uint64, len(s.incarnations))
	for node, inc := range s.incarnations {
		expect[node] = inc
	}
	return expect
}

// RecordIncarnation records an incarnation of an entry host, unless a newer one is known.
func (s *Store) RecordIncarnation(node glade.Node, inc uint64) {
	s.incarnations[node] = max(s.incarnations[node], inc)
}

// Claim votes on a claim, and records the key for it unless the claim is stale,
// the key is recorded for another request, or the store is full. It is
// idempotent: a claim that arrives again meets its own record and gets the same
// kind of vote.
func (s *Store) Claim(now time.Time, c Claim) Vote {
	s.sweep(now)
	vote := Vote{Node: s.config.Self, Incarnation: s.Incarnation()}
	if s.isStale(c.Incarnations) {
		vote.State = Stale
		return vote
	}
	if known, ok := s.records[c.Key]; ok && known.Token != c.Token {
		vote.State, vote.Holder, vote.Token = HeldByOther, known.Node, known.Token
		return vote
	}
	if _, ok := s.records[c.Key]; !ok && len(s.records) >= s.config.MaxRecords {
		vote.State = Full
		return vote
	}
	s.put(Record{Key: c.Key, Token: c.Token, Node: c.Node, ExpiryMs: now.UnixMilli() + c.Window})
	historyAge := now.Sub(s.historySince()).Milliseconds()
	vote.State = Incomplete
	if s.IsHistoryComplete(now) || historyAge >= min(c.Window, c.MaxKeyAgeMs) {
		vote.State = Granted
	}
	return vote
}

// isStale reports whether one of the incarnations in expect has ended, and
// otherwise records them as known. An entry host that restarted copies the
// records of the others. A grant that another one makes after the copy must not
// form a quorum with a grant of the ended incarnation, which the copy lacks:
//
//	A(1) grants, A restarts, A(2) copies from B, B grants: A(1)+B is no quorum
func (s *Store) isStale(expect map[glade.Node]uint64) bool {
	for node, inc := range expect {
		if s.incarnations[node] > inc {
			return true
		}
	}
	for node, inc := range expect {
		s.RecordIncarnation(node, inc)
	}
	return false
}

// Release deletes the record of a key whose request did not run and never will.
// It does nothing when the record belongs to another request, or to two.
func (s *Store) Release(key Key, token uint64) {
	if known, ok := s.records[key]; ok && known.Token == token && token != sharedToken {
		delete(s.records, key)
	}
}

// sharedToken is the token of a record that two requests turned out to hold. No
// release matches it, so that the key stays recorded until it expires.
const sharedToken = 0

// put adds a record. When a copied record and a known one name different
// requests for the same key, one of the two may have run, and it is unknown which
// one. The record is then marked as shared, so that a release of the request
// that did not run can't delete the record of the one that did.
func (s *Store) put(r Record) {
	if known, ok := s.records[r.Key]; ok {
		if known.Token != r.Token {
			known.Token = sharedToken
			s.records[r.Key] = known
		}
		return
	}
	s.records[r.Key] = r
	second := r.ExpiryMs/millisPerSecond + 1
	s.expiring[second] = append(s.expiring[second], r.Key)
}

const millisPerSecond = 1000

// sweep deletes expired records. It visits each second's list of keys once.
func (s *Store) sweep(now time.Time) {
	until := now.Unix()
	if until-s.sweptSecond > int64(len(s.expiring)) {
		s.sweepSparse(until)
		return
	}
	for ; s.sweptSecond < until; s.sweptSecond++ {
		s.dropExpired(s.sweptSecond+1, until)
	}
}

// sweepSparse visits the lists that exist instead of every second in between,
// which takes fewer steps after a long time without claims.
func (s *Store) sweepSparse(until int64) {
	for second := range s.expiring {
		if second <= until {
			s.dropExpired(second, until)
		}
	}
	s.sweptSecond = until
}

func (s *Store) dropExpired(second, until int64) {
	for _, key := range s.expiring[second] {
		if r, ok := s.records[key]; ok && r.ExpiryMs <= until*millisPerSecond {
			delete(s.records, key)
		}
	}
	delete(s.expiring, second)
}
