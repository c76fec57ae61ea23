package once

import (
	"time"

	glade "indigoglade"
)

// CopyPages is the number of pages in which records are copied.
const CopyPages = 16

// CopyAsk asks an entry host for a page of its records, for one that started.
type CopyAsk struct {
	Node glade.Node `json:"node"`
	Inc  uint64     `json:"inc"`
	Page int        `json:"page"`
}

// CopyPage is a page of records.
type CopyPage struct {
	Node glade.Node `json:"node"`
	Inc  uint64     `json:"inc"`
	// Known is the newest incarnation known of the asking entry host. When it
	// is higher than the asking one, that one has to take a higher number.
	Known uint64 `json:"known"`
	Whole bool   `json:"whole"`
	// Age is how long ago the sender's whole history begins, in milliseconds.
	Age     int64    `json:"age"`
	Records []Record `json:"records"`
}

// Copy answers a copy. From the first page on, claims that rest on an earlier
// incarnation of the asking entry host are stale here.
func (s *Store) Copy(now time.Time, ask CopyAsk) CopyPage {
	s.sweep(now)
	s.Learn(ask.Node, ask.Inc)
	page := CopyPage{Node: s.config.Self, Inc: s.Inc(), Known: s.seen[ask.Node], Whole: s.IsWhole(now), Age: now.Sub(s.since()).Milliseconds()}
	if page.Known > ask.Inc {
		return page
	}
	for key, r := range s.records {
		if int(key[0])%CopyPages == ask.Page {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// Rise takes an incarnation above known, after which every copy starts again.
func (s *Store) Rise(known uint64) {
	s.seen[s.config.Self] = max(s.Inc(), known+1)
	s.copied = make(map[glade.Node]time.Time)
}

// Merge takes up the records of a page.
func (s *Store) Merge(now time.Time, page CopyPage) {
	s.sweep(now)
	s.Learn(page.Node, page.Inc)
	for _, r := range page.Records {
		if r.Expiry > now.UnixMilli() {
			s.put(r)
		}
	}
}

// Since returns the moment after which the page's sender has whole history; the
// zero time when it is whole. The age is a length of time, so that the clocks of
// two entry hosts need not agree; the time that the page travelled makes the
// moment later, which is safe.
func (p CopyPage) Since(now time.Time) time.Time {
	if p.Whole {
		return time.Time{}
	}
	return now.Add(-time.Duration(p.Age) * time.Millisecond)
}

// Copied records that every page of an entry host was merged, which has whole
// history after since.
func (s *Store) Copied(node glade.Node, since time.Time) { s.copied[node] = since }
