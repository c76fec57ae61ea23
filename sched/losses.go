package sched

import (
	"bytes"
	"encoding/json"
	"slices"

	glade "indigoglade"
)

// RegistryRow is the stored row of the runners that may run tasks. The next leader compares it
// with what the runners say and with the inventory: an incarnation that is gone may have crashed
// under tasks before the earlier leader could record that.
type RegistryRow struct {
	// Runners is not written before the first start on one of them.
	Runners []glade.RunnerID `json:"ids"`
	// Born holds a tag of the incarnation of each of them, 0 if it is not known.
	Born []int64 `json:"born,omitempty"`
	// Reborn holds those that have restarted under their ids so lately that a lease on the clock of before may count there,
	// for the longest that a runner grants. They are in order.
	Reborn []glade.RunnerID `json:"reborn,omitempty"`
	// Lost holds, for each incarnation that a leader has found gone without having seen it, when
	// that leader took over, in milliseconds since 1970; the latest maxUnseen of them.
	Lost []int64 `json:"lost,omitempty"`
	// Parts is the number of rows if there are several; the first one has it.
	Parts int `json:"parts,omitempty"`
}

// maxRegistryBytes bounds one row of the runners, of the 64 KB that the store takes.
const maxRegistryBytes = 48 << 10

// split returns the rows as which the runners are stored.
func (r *RegistryRow) split() []*RegistryRow {
	const tagBytes = 7 // with a comma
	first := &RegistryRow{Lost: r.Lost}
	parts, bytes := []*RegistryRow{first}, 0
	for i, id := range r.Runners {
		_, isReborn := slices.BinarySearch(r.Reborn, id)
		size := len(Encode(id)) + 1 + tagBytes
		if isReborn {
			size += len(Encode(id)) + 1
		}
		if bytes += size; bytes > maxRegistryBytes {
			parts, bytes = append(parts, &RegistryRow{}), size
		}
		last := parts[len(parts)-1]
		last.Runners, last.Born = append(last.Runners, id), append(last.Born, r.Born[i])
		if isReborn {
			last.Reborn = append(last.Reborn, id)
		}
	}
	if len(parts) > 1 {
		first.Parts = len(parts)
	}
	return parts
}

// UnmarshalJSON decodes also the rows of earlier versions, which are lists of runners.
func (r *RegistryRow) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte("[")) {
		*r = RegistryRow{}
		return json.Unmarshal(data, &r.Runners)
	}
	type plain RegistryRow // without this method
	return json.Unmarshal(data, (*plain)(r))
}

const (
	// maxUnseen is the number of unseen crashes that count for a task: it is not given up before
	// this leader or a row tells of minCrashes.
	maxUnseen = maxCrashes - minCrashes
	// bornTags bounds the tags of incarnations, which share a row of 64 KB with the ids. Two
	// incarnations have the same one in one of so many cases; then a crash stays unnoticed.
	bornTags = 99_999
)

func bornTag(born int64) int64 {
	if born == 0 {
		return 0
	}
	return born%bornTags + 1
}

// losses tells which runners were lost before a leader could record what ran there.
type losses struct {
	// loaded holds the tags of the row that this leader has read.
	loaded map[glade.RunnerID]int64
	// held holds the incarnations that have crashed. They stay in the row until the crashes
	// are written.
	held map[glade.RunnerID]int64
	// unwritten holds the batches with crashes that are not written, with the change of each.
	unwritten map[*batch]int64
	at        []int64 // RegistryRow.Lost
	// gone holds the runners that this leader has counted as lost without having heard of them.
	gone map[glade.RunnerID]bool
}

func newLosses() losses {
	return losses{loaded: make(map[glade.RunnerID]int64), held: make(map[glade.RunnerID]int64), unwritten: make(map[*batch]int64), gone: make(map[glade.RunnerID]bool)}
}

// registryRow returns the row of the registered runners.
func (s *Scheduler) registryRow() *RegistryRow {
	row := &RegistryRow{Runners: make([]glade.RunnerID, 0, len(s.registered)), Lost: slices.Clone(s.losses.at)}
	for id := range s.registered {
		row.Runners = append(row.Runners, id)
	}
	for id := range s.losses.held {
		if !s.registered[id] {
			row.Runners = append(row.Runners, id)
		}
	}
	slices.Sort(row.Runners)
	for _, id := range row.Runners {
		row.Born = append(row.Born, s.storedBorn(id))
		if s.isReborn(id, s.steppedAt) {
			row.Reborn = append(row.Reborn, id)
		}
	}
	return row
}

// storedBorn returns the tag of the incarnation of a runner that the row has to name.
func (s *Scheduler) storedBorn(id glade.RunnerID) int64 {
	if tag, ok := s.losses.held[id]; ok {
		return tag
	}
	if r, ok := s.runners[id]; ok && r.incarnation != 0 {
		return bornTag(r.incarnation)
	}
	return s.losses.loaded[id]
}

// LoadRegistered restores the runners that earlier leaders may have used, from
// their rows.
func (s *Scheduler) LoadRegistered(rows ...RegistryRow) {
	for _, row := range rows {
		s.losses.at = append(s.losses.at, row.Lost...)
		for i, id := range row.Runners {
			s.registered[id] = true
			s.runner(id)
			if i < len(row.Born) {
				s.losses.loaded[id] = row.Born[i]
			}
		}
		for _, id := range row.Reborn {
			s.inherited.reborn[id], s.rebornAt = true, s.leaderSince
		}
	}
	s.updateInherited()
}

// holdLost keeps an incarnation that has crashed in the row until the crashes are written.
func (s *Scheduler) holdLost(r *runner) {
	id := r.info.ID
	if _, ok := s.losses.held[id]; !ok && s.registered[id] && len(s.losses.unwritten) > 0 {
		s.losses.held[id] = s.storedBorn(id)
	}
}

// releaseLost drops the held incarnations from the row once the crashes are written.
func (s *Scheduler) releaseLost() {
	for b, gen := range s.losses.unwritten {
		if b.writtenGen >= gen {
			delete(s.losses.unwritten, b)
		}
	}
	if len(s.losses.unwritten) == 0 && len(s.losses.held) > 0 {
		clear(s.losses.held)
		s.registryGen++
	}
}

// compareIncarnation records a loss if a runner that answers for the first time is not the
// incarnation that the row names.
func (s *Scheduler) compareIncarnation(r *runner, born int64) {
	id := r.info.ID
	if !s.registered[id] || s.storedBorn(id) == bornTag(born) {
		return
	}
	if r.incarnation == 0 && s.losses.loaded[id] != 0 {
		s.recordLoss(id, "reborn")
	}
	if _, held := s.losses.held[id]; !held {
		s.registryGen++
	}
}

// recordLoss records that an incarnation was gone before this leader had heard of it.
func (s *Scheduler) recordLoss(id glade.RunnerID, how string) {
	s.losses.at = append(s.losses.at, s.leaderSince.UnixMilli())
	s.losses.at = s.losses.at[max(len(s.losses.at)-maxUnseen, 0):]
	s.registryGen++
	s.addEvent("unseen", "runner", id, "how", how, "losses", len(s.losses.at))
}

// takeBackLoss takes back the loss of a runner that answers as the incarnation that the row named: it was only cut off.
func (s *Scheduler) takeBackLoss(id glade.RunnerID, born int64) {
	if !s.losses.gone[id] {
		return
	}
	delete(s.losses.gone, id)
	if i := slices.Index(s.losses.at, s.leaderSince.UnixMilli()); i >= 0 && s.losses.loaded[id] == bornTag(born) {
		s.losses.at = slices.Delete(s.losses.at, i, i+1)
		s.registryGen++
	}
}

// unseenCrashes returns how many runners may have crashed under a task without a row that tells of
// it: as many as were lost so since its batch was submitted. For a task that lasts, most of what is
// lost in its life has another cause. So have several that one leader has found lost: it took over
// because hosts died, too, and runners went with them.
func (s *Scheduler) unseenCrashes(st *step) int {
	count, submitted := 0, st.occurrence.batch.submittedAt.UnixMilli()
	for _, at := range s.losses.at {
		if at >= submitted {
			count++
		}
	}
	if st.rule.LongRunning || count == maxUnseen && s.losses.at[0] == s.losses.at[maxUnseen-1] {
		return min(count, 1)
	}
	return count
}
