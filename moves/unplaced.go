package moves

import "time"

// unplacedTracker sizes a pool for long-running tasks that find no room on its hosts. How many
// hosts help depends on what is not known here: a large task needs a whole one, a step that is
// spread one for each task, and a task whose label no host has none at all.
type unplacedTracker struct {
	// from is the number of hosts that could run tasks when the first one found no room, and
	// most the most tasks without room since then.
	from, most int
	// reachedAt is when the pool had a host more for each of them, zero before.
	reachedAt time.Time
	// isVain means that those hosts did not help, or that no more could be had.
	isVain bool
	// mostReady is the highest number of hosts so far, progressAt when it rose, fewer tasks were without room
	// than the last time or hosts were on the way. A host that is lost and comes back is no progress.
	mostReady, unplaced int
	progressAt          time.Time
}

// placementWait is the time after which hosts that have joined a pool would have taken the
// tasks that found no room, and the load would tell of it.
const placementWait = 2 * time.Second

// maxStall is how long a pool asks for hosts of which none comes. Those that it has taken from others
// meanwhile are of no use to the tasks; hosts that can't leave their pool yet can do so earlier.
const maxStall = 10 * time.Second

// observe returns the number of hosts that the pool needs for its unplaced tasks; 0 if it needs
// none for them, or more hosts were in vain. ready is the number of hosts that can run tasks,
// joining that of those on the way.
func (t *unplacedTracker) observe(unplaced, ready, joining int, now time.Time) int {
	if unplaced == 0 {
		*t = unplacedTracker{}
		return 0
	}
	if t.most == 0 || (t.isVain && unplaced > t.most) {
		*t = unplacedTracker{from: ready, progressAt: now}
	}
	if ready > t.mostReady || unplaced < t.unplaced || joining > 0 {
		t.progressAt = now
	}
	t.mostReady, t.unplaced = max(t.mostReady, ready), unplaced
	t.most = max(t.most, unplaced)
	hosts := t.from + t.most
	switch {
	case t.isVain:
		return 0
	case ready < hosts && now.Sub(t.progressAt) > maxStall:
		t.isVain = true
		return 0
	case ready < hosts:
		t.reachedAt = time.Time{}
	case t.reachedAt.IsZero():
		t.reachedAt = now
	case now.Sub(t.reachedAt) > placementWait:
		t.isVain = true
		return 0
	}
	return hosts
}
