package sched

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// WorkRow is the stored row of a batch's work. It does not change once written.
type WorkRow struct {
	Queue glade.Queue `json:"queue"`
	// SubmittedAt is when the batch was submitted, in milliseconds since 1970.
	SubmittedAt int64       `json:"at"`
	Work        glade.Batch `json:"work"`
	// Path and Rule are those of the queue when the batch was accepted. Rows of earlier versions
	// have none.
	Path string  `json:"path,omitempty"`
	Rule RuleRow `json:"rule,omitzero"`
}

// RuleRow is the part of a queue's rule that a batch needs when the contract no longer has the queue.
type RuleRow struct {
	Priority    int     `json:"rank,omitempty"`
	MaxFailures int     `json:"most,omitempty"`
	Stretch     float64 `json:"stretch,omitempty"`
	SlackMs     int64   `json:"slack,omitempty"`
	NeedsAdvice bool    `json:"advice,omitempty"`
}

func encodeRule(rule glade.QueueRule) RuleRow {
	return RuleRow{
		Priority: rule.Priority, MaxFailures: rule.MaxFailures, Stretch: rule.Stretch, SlackMs: rule.Slack.Milliseconds(),
		NeedsAdvice: rule.NeedsAdvice,
	}
}

func (r RuleRow) decode(queue glade.Queue) glade.QueueRule {
	return glade.QueueRule{
		Queue: queue, Priority: r.Priority, MaxFailures: r.MaxFailures, Stretch: r.Stretch, Slack: time.Duration(r.SlackMs) * time.Millisecond,
		NeedsAdvice: r.NeedsAdvice,
	}
}

// ProgressRow is the stored row of a batch's progress.
type ProgressRow struct {
	State       glade.BatchState `json:"state,omitempty"`
	Started     bool             `json:"begun,omitempty"`
	Occurrences []OccurrenceRow  `json:"turns,omitempty"`
	// Accepted is set with a final state, unless the batch never arrived: the row of its work
	// may be gone. Owner is its tenant.
	Accepted bool         `json:"taken,omitempty"`
	Owner    glade.Tenant `json:"owner,omitempty"`
	// EndedAt is when a batch in a final state ended, in milliseconds since 1970.
	EndedAt int64 `json:"over,omitempty"`
	// Path is that of the queue by which a batch in a final state came.
	Path string `json:"path,omitempty"`
	// CancelledBy holds the tenants that cancelled the ID of a batch that had not arrived; an empty
	// name is that of callers without a tenant.
	CancelledBy []glade.Tenant `json:"by,omitempty"`
}

// OccurrenceRow is the stored progress of one occurrence.
type OccurrenceRow struct {
	Occurrence int `json:"turn"`
	// All means that every step is done.
	All bool `json:"all,omitempty"`
	// Done holds a bitmap for each step, with a bit for each done task.
	Done [][]byte `json:"done,omitempty"`
	// FailedRuns maps "step.index" to the numbers of the runs that failed. A
	// count is not enough: a runner repeats an end report that was written and
	// not acknowledged, and runners report ends in any order.
	FailedRuns map[string][]int64 `json:"fails,omitempty"`
	// Crashes maps "step.index" to the runs under which runners have crashed, or may.
	Crashes map[string][]CrashRow `json:"crashes,omitempty"`
	// Checkpoints maps "step.index" to the newest checkpoint.
	Checkpoints map[string]string `json:"saved,omitempty"`
}

// CrashRow is a run whose runner has crashed, or a trial that may end so.
type CrashRow struct {
	Run int64 `json:"run"`
	// Late means that the run was not young when its runner went silent.
	Late bool `json:"late,omitempty"`
	// Alone means that nothing else explains the crash.
	Alone bool `json:"alone,omitempty"`
	// Started means that the task has certainly run there.
	Started bool `json:"begun,omitempty"`
	// Unseen stands for no crash; only rows of earlier versions have it.
	Unseen bool `json:"unseen,omitempty"`
}

// writes is the queue of batches whose rows must be written.
type writes struct {
	list []*batch
	// inFlight maps the batches of the write in flight to the change that it
	// covers; it is nil when there is none.
	inFlight map[*batch]int64
	rejects  rejects
}

// maxCrashRows bounds the tasks of an occurrence whose crashes are stored, within the size
// of a row.
const maxCrashRows = 256

// rowRoom is what is left of a progress row, in bytes of its JSON. The store takes 64 KB. Beside these
// parts the row has what can't be left out: which tasks are done. Without a checkpoint a task starts
// from its beginning, without its failures it may fail more often, if the leader changes.
type rowRoom struct{ failures, crashes, checkpoints int }

func newRowRoom() *rowRoom {
	return &rowRoom{failures: 16 << 10, crashes: 8 << 10, checkpoints: 10 << 10}
}

// take reports whether there is room for some bytes, and takes them.
func take(room *int, bytes int) bool {
	if *room < bytes {
		return false
	}
	*room -= bytes
	return true
}

// Sizes of the parts of a progress row, in bytes, besides the keys and texts in them.
const (
	keyBytes     = 6
	failureBytes = 16
	crashBytes   = 64
	// occurrenceBytes is the rest of an occurrence, stepBytes that of the bitmap of a step.
	occurrenceBytes = 40
	stepBytes       = 3
)

// A progress row has a bitmap for each step of each occurrence that has begun, as long as these take
// maxBitmapBytes of its JSON at most. Beyond that it has one bitmap for all tasks of the batch: 250
// occurrences of 64 steps of one task take 2.7 KB in place of 120. It stands in a row of an occurrence
// that no batch has, with a single step; versions that don't know it refuse to load the batch, rather
// than run tasks again that are done.
const (
	maxBitmapBytes = 16 << 10
	allOccurrences = -1
)

// Limits of one write, below those of a transaction, which has room for more: the term is checked and
// renewed, and the row of the paths is written.
const (
	maxWriteRows  = 96
	maxWriteBytes = glade.MaxTxnBytes - 130_000
	// minDeletions is the room that is kept for deletions while some wait.
	minDeletions = 24
)

// Write is a set of rows to write in one transaction.
type Write struct {
	Work     map[glade.BatchID]WorkRow
	Progress map[glade.BatchID]ProgressRow
	// Registered has the runners that may run tasks; they are written unless it is nil, as parts rows.
	Registered *RegistryRow
	parts      int
	Deletions  Deletions
	// Rows are the rows to write as they are stored.
	Rows []EncodedRow
	// oversize are batches that are set aside because the store would reject a row of them.
	oversize []oversizeRow
	gen      int64
}

type oversizeRow struct {
	batch *batch
	bytes int
}

// RowKind tells which row of a service an EncodedRow is.
type RowKind int

// Kinds of rows.
const (
	KindWork RowKind = iota
	KindProgress
	KindRegistry
)

// EncodedRow is a row as it is stored. Batch is empty for the rows of the runners, of which Part is the index.
type EncodedRow struct {
	Kind  RowKind
	Batch glade.BatchID
	Part  int
	Value []byte
}

// encodedSize returns what a row takes in a transaction at most, in bytes.
func (s *Scheduler) encodedSize(r EncodedRow) int {
	return glade.PartitionRow{Part: string(s.config.Service), Key: string(r.Batch), Value: r.Value}.EncodedSize() + maxTableName
}

// maxTableName is the length of the longest name of a table with rows of a service.
const maxTableName = 16

// Len returns the number of rows that are written.
func (w Write) Len() int {
	return len(w.Work) + len(w.Progress) + w.parts
}

// markChanged counts a change of a batch and queues its rows for writing.
func (s *Scheduler) markChanged(b *batch) {
	b.gen++
	if !b.writeQueued {
		b.writeQueued = true
		s.writes.list = append(s.writes.list, b)
	}
}

// HasWrites reports whether rows wait to be written and no write is in flight.
func (s *Scheduler) HasWrites() bool {
	return s.writes.inFlight == nil && (len(s.writes.list) > 0 || len(s.writes.rejects.groups) > 0 || s.writesRegistry())
}

// writesRegistry reports whether the row of the runners is to be written now.
func (s *Scheduler) writesRegistry() bool {
	return s.registryGen > s.registryWritten && !s.writes.rejects.holdsRegistry(s.steppedAt)
}

// BeginWrite returns the next rows to write. The outcome must be reported before
// the next call.
func (s *Scheduler) BeginWrite() Write {
	w := Write{Work: make(map[glade.BatchID]WorkRow), Progress: make(map[glade.BatchID]ProgressRow), gen: s.registryGen}
	s.writes.inFlight = make(map[*batch]int64)
	defer s.setOversizeAside(&w)
	if group := s.writes.rejects.next(); group != nil {
		s.writes.rejects.requeue(s.addRows(&w, group, maxWriteRows, 0))
		return w
	}
	bytes := 0
	if s.writesRegistry() {
		w.Registered = s.registryRow()
		for i, part := range w.Registered.split() {
			w.Rows = append(w.Rows, EncodedRow{Kind: KindRegistry, Part: i, Value: Encode(part)})
			bytes += s.encodedSize(w.Rows[i])
		}
		w.parts = len(w.Rows)
		if s.writes.rejects.registryAlone {
			return w
		}
	}
	s.writes.list = s.addRows(&w, s.writes.list, maxWriteRows-min(s.drops.len(), minDeletions), bytes)
	w.Deletions = s.takeDeletions(maxWriteRows - w.Len())
	return w
}

// addRows adds the rows of batches to a write that has some bytes already, as far as they fit, and
// returns the other batches.
func (s *Scheduler) addRows(w *Write, list []*batch, most, bytes int) []*batch {
	n := 0
	for ; n < len(list) && w.Len()+2 <= most; n++ {
		b := list[n]
		rows := s.encodeRows(w, b)
		size, largest := 0, 0
		for _, r := range rows {
			size += s.encodedSize(r)
			largest = max(largest, len(r.Value))
		}
		if largest > glade.MaxRowBytes {
			s.dropRows(w, b)
			w.oversize = append(w.oversize, oversizeRow{batch: b, bytes: largest})
			continue
		}
		if len(w.Rows) > 0 && bytes+size > maxWriteBytes {
			s.dropRows(w, b)
			break
		}
		bytes += size
		b.writeQueued = false
		s.writes.inFlight[b] = b.gen
		w.Rows = append(w.Rows, rows...)
	}
	return slices.Delete(list, 0, n)
}

// encodeRows adds the rows of a batch to a write, and returns them as they are stored.
func (s *Scheduler) encodeRows(w *Write, b *batch) []EncodedRow {
	var rows []EncodedRow
	if b.workUnwritten {
		row := WorkRow{Queue: b.queue, SubmittedAt: b.submittedAt.UnixMilli(), Work: b.work, Path: b.path, Rule: encodeRule(b.rule)}
		w.Work[b.id] = row
		rows = append(rows, EncodedRow{Kind: KindWork, Batch: b.id, Value: Encode(row)})
	}
	if !b.workUnwritten || b.state != "" || b.replaced != nil {
		row := b.progress()
		w.Progress[b.id] = row
		rows = append(rows, EncodedRow{Kind: KindProgress, Batch: b.id, Value: Encode(row)})
	}
	return rows
}

// dropRows takes the rows of a batch out of a write.
func (s *Scheduler) dropRows(w *Write, b *batch) {
	delete(w.Work, b.id)
	delete(w.Progress, b.id)
}

// FinishWrite records the outcome of a write: its rows were written, or
// certainly were not and are queued again.
func (s *Scheduler) FinishWrite(w Write, ok bool, now time.Time) {
	inFlight := s.writes.inFlight
	s.writes.inFlight = nil
	s.finishDeletions(w.Deletions, ok)
	if !ok {
		for b := range inFlight {
			if !b.writeQueued {
				b.writeQueued = true
				s.writes.list = append(s.writes.list, b)
			}
		}
		return
	}
	if w.Registered != nil {
		s.registryWritten, s.writes.rejects.registryAlone = w.gen, false
		s.needsPlacement = true
	}
	for b, gen := range inFlight {
		b.writtenGen = max(b.writtenGen, gen)
		s.needsPlacement = s.needsPlacement || s.suspects[b] // a trial waits for its entry
		if b.workUnwritten {
			b.workUnwritten, b.replaced, b.hasWorkRow = false, nil, true
			b.accepted = true
			s.stats.Accepted++
			if b.tenant != nil {
				b.tenant.stats.Accepted++
			}
			s.startDue(b, now)
		}
		if progress, written := w.Progress[b.id]; written && progress.State != "" {
			b.writtenState, b.isStateComplete = progress.State, true
		}
	}
	s.releaseLost()
	for _, r := range s.runners {
		r.advanceWritten()
	}
}

// Withdraw removes a submitted batch whose row is certainly not written. It
// returns false if the row is or may be written, or the batch is unknown.
func (s *Scheduler) Withdraw(id glade.BatchID) bool {
	b, ok := s.batches[id]
	if !ok || !b.workUnwritten {
		return false
	}
	if _, inFlight := s.writes.inFlight[b]; inFlight {
		return false
	}
	s.writes.list = slices.DeleteFunc(s.writes.list, func(other *batch) bool { return other == b })
	s.writes.rejects.remove(b)
	delete(s.batches, id)
	s.drop(b)
	if b.replaced != nil {
		s.batches[id] = b.replaced
	}
	s.dropLive(b)
	s.addEvent("withdraw", "batch", id)
	return true
}

// IsWritten reports whether the rows of a batch are written up to the change gen.
func (s *Scheduler) IsWritten(id glade.BatchID, gen int64) bool {
	b, ok := s.batches[id]
	return ok && b.writtenGen >= gen
}

// progress returns the stored form of the batch's progress.
func (b *batch) progress() ProgressRow {
	progress := ProgressRow{Started: b.started, CancelledBy: b.cancelledBy}
	if b.state.IsFinal() {
		progress.Path = b.path
		progress.State, progress.Accepted, progress.Owner, progress.EndedAt = b.state, len(b.cancelledBy) == 0, b.owner, b.endedAt.UnixMilli()
		return progress
	}
	room, compact := newRowRoom(), b.bitmapBytes() > maxBitmapBytes
	if compact {
		progress.Occurrences = append(progress.Occurrences, OccurrenceRow{Occurrence: allOccurrences, Done: [][]byte{b.doneTasks()}})
	}
	for _, o := range b.occurrences {
		if record, ok := o.record(room, compact); ok {
			progress.Occurrences = append(progress.Occurrences, record)
		}
	}
	return progress
}

// bitmapBytes returns the size of the bitmaps of all occurrences that have begun, in bytes of JSON.
func (b *batch) bitmapBytes() int {
	sum := 0
	for _, o := range b.occurrences {
		if o.left > 0 && !o.started {
			continue
		}
		sum += occurrenceBytes
		for _, st := range o.steps {
			if o.left > 0 {
				sum += stepBytes + base64.StdEncoding.EncodedLen((len(st.tasks)+7)/8)
			}
		}
	}
	return sum
}

// doneTasks returns a bitmap of all tasks of a batch, by occurrence and step.
func (b *batch) doneTasks() []byte {
	bits := make([]byte, (taskRuns(&b.work)+7)/8)
	n := 0
	for _, o := range b.occurrences {
		for _, st := range o.steps {
			for i := range st.tasks {
				if st.tasks[i].done {
					bits[n/8] |= 1 << (n % 8)
				}
				n++
			}
		}
	}
	return bits
}

// record returns the stored form of the occurrence's progress, and false if there
// is none yet. In a compact row the tasks that are done stand elsewhere.
func (o *occurrence) record(room *rowRoom, compact bool) (OccurrenceRow, bool) {
	row := OccurrenceRow{Occurrence: o.number}
	if o.left == 0 {
		row.All = true
		return row, !compact
	}
	progressed, keyBytes := false, keyBytes
	if compact {
		keyBytes += occurrenceBytes
	}
	for _, st := range o.steps {
		bits := make([]byte, (len(st.tasks)+7)/8)
		for i := range st.tasks {
			t := &st.tasks[i]
			key := strconv.Itoa(st.index) + "." + strconv.Itoa(i)
			if t.done {
				bits[i/8] |= 1 << (i % 8)
				progressed = progressed || !compact
				continue
			}
			if len(t.failed) > 0 && take(&room.failures, keyBytes+len(key)+failureBytes*len(t.failed)) {
				progressed = true
				if row.FailedRuns == nil {
					row.FailedRuns = make(map[string][]int64)
				}
				row.FailedRuns[key] = slices.Clone(t.failed)
			}
			if len(t.crashes) > 0 && len(row.Crashes) < maxCrashRows && take(&room.crashes, keyBytes+len(key)+crashBytes*len(t.crashes)) {
				progressed = true
				if row.Crashes == nil {
					row.Crashes = make(map[string][]CrashRow)
				}
				for _, c := range t.crashes {
					row.Crashes[key] = append(row.Crashes[key], CrashRow{Run: c.run, Late: c.late, Alone: c.alone, Started: c.started})
				}
			}
			if t.checkpoint != "" && take(&room.checkpoints, keyBytes+len(key)+len(t.checkpoint)) {
				progressed = true
				if row.Checkpoints == nil {
					row.Checkpoints = make(map[string]string)
				}
				row.Checkpoints[key] = t.checkpoint
			}
		}
		if !compact {
			row.Done = append(row.Done, bits)
		}
	}
	return row, progressed
}

// Encode returns the JSON of a row.
func Encode[T any](row T) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(errors.Wrap(err, "encode a row")) // rows hold only plain values
	}
	return data
}
