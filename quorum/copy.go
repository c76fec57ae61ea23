package quorum

import (
	"time"

	glade "indigoglade"
)

// CopyPages is the number of pages that the records are divided into for copying,
// by the first byte of the key.
const CopyPages = 16

// CopyRequest is the request of an entry host that has started for one page of
// another one's records. It names the asking entry host and its incarnation.
type CopyRequest struct {
	Node        glade.Node `json:"node"`
	Incarnation uint64     `json:"inc"`
	Page        int        `json:"page"`
}

// CopyPage is a page of the records of an entry host and the state of that
// entry host's history.
type CopyPage struct {
	Node        glade.Node `json:"node"`
	Incarnation uint64     `json:"inc"`
	// KnownIncarnation is the newest known incarnation of the asking entry
	// host. When it is higher than the one that asked, the page has no records,
	// and the asking entry host has to raise its own incarnation above it.
	KnownIncarnation uint64 `json:"known"`
	// IsComplete tells whether the sender's history is complete.
	IsComplete bool `json:"whole"`
	// HistoryAgeMs is how far back the sender's history is complete, in milliseconds.
	HistoryAgeMs int64    `json:"age"`
	Records      []Record `json:"records"`
}

// ReadPage returns the page that another entry host asked for. Once it has answered
// the first page, this store votes stale on claims that were made for an earlier
// incarnation of the asking entry host.
func (s *Store) ReadPage(now time.Time, request CopyRequest) CopyPage {
	s.sweep(now)
	s.RecordIncarnation(request.Node, request.Incarnation)
	page := CopyPage{Node: s.config.Self, Incarnation: s.Incarnation(), KnownIncarnation: s.incarnations[request.Node], IsComplete: s.IsHistoryComplete(now), HistoryAgeMs: now.Sub(s.historySince()).Milliseconds()}
	if page.KnownIncarnation > request.Incarnation {
		return page
	}
	for key, r := range s.records {
		if int(key[0])%CopyPages == request.Page {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// RaiseIncarnation raises the own incarnation above known and drops the progress of
// copying, so that the records of all other entry hosts have to be copied again.
func (s *Store) RaiseIncarnation(known uint64) {
	s.incarnations[s.config.Self] = max(s.Incarnation(), known+1)
	s.copiedSince = make(map[glade.Node]time.Time)
}

// Merge adds the records of a page that have not expired.
func (s *Store) Merge(now time.Time, page CopyPage) {
	s.sweep(now)
	s.RecordIncarnation(page.Node, page.Incarnation)
	for _, r := range page.Records {
		if r.ExpiryMs > now.UnixMilli() {
			s.put(r)
		}
	}
}

// CompleteSince returns the time since when the sender's history is complete;
// the zero time when nothing is missing in it. The page carries an age and no
// time stamp, so that the clocks of two entry hosts need not agree. The time
// that the page was in transit makes the result later than the true time, which
// is safe: it claims less history than there is.
func (p CopyPage) CompleteSince(now time.Time) time.Time {
	if p.IsComplete {
		return time.Time{}
	}
	return now.Add(-time.Duration(p.HistoryAgeMs) * time.Millisecond)
}

// MarkCopied records that every page of an entry host was merged and that the
// history of that entry host is complete since the given time.
func (s *Store) MarkCopied(node glade.Node, since time.Time) { s.copiedSince[node] = since }
