// Package paths tells which services may know the batches that came by a path.
//
// A contract may send a path to another service than the one before it. A batch stays with the
// service that accepted it, so that the next service must not take its ID as unknown. Each
// service therefore stores the paths from which it accepts batches. For a path that is new to
// it, it lists the other services as former ones until each has said that it accepts nothing
// from there any more and, if it knows batches of the path, until those are gone. Meanwhile an
// unknown ID is asked for at the former services.
//
// An answer is given only for a stored row: a later leader of the service that still has an older
// contract accepts nothing that the row does not list.
package paths

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	glade "indigoglade"
)

// Hash identifies a path in rows and messages.
type Hash uint64

// HashOf returns the hash of a path.
func HashOf(path string) Hash { return Hash(xxhash.Sum64String(path)) }

// Row is the stored row of a service.
type Row struct {
	// Version is the version of the contract that the row is from.
	Version int64   `json:"number"`
	Groups  []Group `json:"paths,omitempty"`
}

// Group is a set of paths with the same former services.
type Group struct {
	Former []glade.Service `json:"former,omitempty"`
	// Hashes holds 8 bytes for each path.
	Hashes []byte `json:"hashes"`
}

// hashBytes is the size of a hash in a row.
const hashBytes = 8

// MaxRowBytes bounds a row. The platform stores 64 KB.
const MaxRowBytes = 60 << 10

// Question asks a former service about paths.
type Question struct {
	// From is the service that asks, which has the paths as of a version of the contract.
	From    glade.Service `json:"from"`
	Version int64         `json:"number"`
	Paths   []Hash        `json:"paths"`
}

// Answer is the answer of a former service.
type Answer struct {
	// Version is that of its stored row. If it is below the question's, the rest is void.
	Version int64 `json:"number"`
	// Held lists those paths of which it knows batches, or which it has itself by now.
	Held []Hash `json:"held,omitempty"`
}

// Table holds the paths of one service. It is not safe for concurrent use.
type Table struct {
	service glade.Service
	// version is that of the contract from which former was made.
	version int64
	// former maps the service's paths to the services that may know batches of them.
	former map[Hash][]glade.Service
	// contract is the newest version of the contract that was seen, and inContract the paths that
	// it gives to the service.
	contract   int64
	inContract map[Hash]bool
	// inherits means that the first contract's paths have no former services.
	inherits bool
	// gen counts changes of the row, stored is the change up to which it is stored, and
	// storedVersion the version in the stored row.
	gen, stored, storedVersion int64
	sent                       map[int64]int64 // versions by change, of writes in flight
}

// New returns the table of a service that has no row.
func New(service glade.Service) *Table {
	return &Table{service: service, former: make(map[Hash][]glade.Service), inContract: make(map[Hash]bool), sent: make(map[int64]int64)}
}

// Load reads the stored row. It must be called before any other method, if there is a row.
func (t *Table) Load(value []byte) error {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return errors.Wrapf(err, "decode the paths of service %s", t.service)
	}
	t.version, t.storedVersion = row.Version, row.Version
	for _, group := range row.Groups {
		for b := group.Hashes; len(b) >= hashBytes; b = b[hashBytes:] {
			t.former[Hash(binary.BigEndian.Uint64(b))] = group.Former
		}
	}
	return nil
}

// Inherit tells a table without a row whether the service has had its paths before.
func (t *Table) Inherit(inherits bool) { t.inherits = inherits }

// SetRules applies a version of the contract, unless a newer one was applied. departed are the services
// that are not in it and may have batches.
func (t *Table) SetRules(rules glade.Rules, departed ...glade.Service) {
	if rules.Version < t.contract {
		return
	}
	t.contract, t.inContract = rules.Version, make(map[Hash]bool)
	var others []glade.Service
	for _, rule := range rules.Services {
		if rule.Service != t.service && !rule.Spare {
			others = append(others, rule.Service)
		}
	}
	for _, service := range departed {
		if service != t.service {
			others = append(others, service)
		}
	}
	for _, rule := range rules.Queues {
		if path := rule.Path(); path != "" && rule.Service == t.service {
			t.inContract[HashOf(path)] = true
		}
	}
	if rules.Version < t.version {
		return // an earlier leader has seen a newer one
	}
	if t.inherits {
		t.inherits, others = false, nil
	}
	changed := false
	for hash := range t.inContract {
		if _, ok := t.former[hash]; !ok {
			t.former[hash], changed = others, true
		}
	}
	maps.DeleteFunc(t.former, func(hash Hash, _ []glade.Service) bool {
		dropped := !t.inContract[hash]
		changed = changed || dropped
		return dropped
	})
	if changed {
		t.version = rules.Version
		t.gen++
	}
}

// Formers returns the services that may know a batch which came by a path, besides the service
// itself, and the version of the contract as of which they must answer. It returns false if the
// service does not have the path.
func (t *Table) Formers(path string) (former []glade.Service, version int64, ok bool) {
	hash := HashOf(path)
	former, ok = t.former[hash]
	return former, t.version, ok && t.inContract[hash]
}

// Questions returns what to ask the former services.
func (t *Table) Questions() map[glade.Service]Question {
	questions := make(map[glade.Service]Question)
	for hash, former := range t.former {
		for _, service := range former {
			q := questions[service]
			q.From, q.Version, q.Paths = t.service, t.version, append(q.Paths, hash)
			questions[service] = q
		}
	}
	return questions
}

// Answer answers the question of another service. knows reports whether this service knows
// batches of a path. A path that this service has itself in a newer version is held, and the
// service that asks is a former one of it.
func (t *Table) Answer(q Question, knows func(Hash) bool) Answer {
	if t.storedVersion < q.Version {
		if t.contract >= q.Version && t.version < q.Version {
			t.version = t.contract
			t.gen++
		}
		return Answer{Version: t.storedVersion}
	}
	out := Answer{Version: t.storedVersion}
	for _, hash := range q.Paths {
		former, own := t.former[hash]
		if own && !slices.Contains(former, q.From) {
			t.former[hash] = append(slices.Clone(former), q.From)
			t.gen++
		}
		if own || knows(hash) {
			out.Held = append(out.Held, hash)
		}
	}
	return out
}

// Apply applies the answer to a question.
func (t *Table) Apply(q Question, from glade.Service, answer Answer) {
	if answer.Version < q.Version {
		return
	}
	for _, hash := range q.Paths {
		former, ok := t.former[hash]
		if !ok || q.Version < t.version || slices.Contains(answer.Held, hash) || !slices.Contains(former, from) {
			continue
		}
		t.former[hash] = slices.DeleteFunc(slices.Clone(former), func(other glade.Service) bool { return other == from })
		t.gen++
	}
}

// HasWrite reports whether the row has changed since it was stored.
func (t *Table) HasWrite() bool { return t.gen > t.stored }

// IsStored reports whether the row of a version or a newer one is stored.
func (t *Table) IsStored(version int64) bool { return t.storedVersion >= version }

// BeginWrite returns the row to write and the change that it covers.
func (t *Table) BeginWrite() (Row, int64) {
	byFormer := make(map[string]*Group)
	for _, hash := range slices.Sorted(maps.Keys(t.former)) {
		key := ""
		for _, service := range t.former[hash] {
			key += string(service) + "\x00"
		}
		group, ok := byFormer[key]
		if !ok {
			group = &Group{Former: t.former[hash]}
			byFormer[key] = group
		}
		group.Hashes = binary.BigEndian.AppendUint64(group.Hashes, uint64(hash))
	}
	row := Row{Version: t.version}
	for _, group := range byFormer {
		row.Groups = append(row.Groups, *group)
	}
	slices.SortFunc(row.Groups, func(x, y Group) int { return cmp.Compare(string(x.Hashes), string(y.Hashes)) })
	t.sent[t.gen] = t.version
	return row, t.gen
}

// FinishWrite records whether the row of a change was stored.
func (t *Table) FinishWrite(gen int64, ok bool) {
	version := t.sent[gen]
	delete(t.sent, gen)
	if ok && gen > t.stored {
		t.stored, t.storedVersion = gen, version
	}
}
