package sched

import (
	"slices"
	"strings"
	"time"
)

// trialBlock is why a placement has started no trial of a batch.
type trialBlock string

const (
	notVisited       trialBlock = "not reached"
	unknownRunsLeft  trialBlock = "unknown runs"
	otherTrial       trialBlock = "other trial"
	tenantLimit      trialBlock = "limit"
	noPlace          trialBlock = "no place"
	noRoom           trialBlock = "no room"
	runnerLost       trialBlock = "runner lost"
	runnerNotQuiet   trialBlock = "runner not quiet"
	entryNotStored   trialBlock = "entry not stored"
	kindNotKnown     trialBlock = "kind not known"
	leaderNotRenewed trialBlock = "leader not renewed"
)

// Limits of the line about a task that waits for its trial.
const (
	trialLogPeriod  = time.Second
	trialLogHolders = 8
)

// logTrialWait logs the suspect task that has waited longest for its trial, with the places for
// trials and those that hold them, once every trialLogPeriod at most.
func (s *Scheduler) logTrialWait(now time.Time) {
	if len(s.suspects) == 0 || now.Sub(s.trialLoggedAt) < trialLogPeriod {
		return
	}
	var longest *step
	index, waiting := 0, 0
	for b := range s.suspects {
		st, i := b.longestPendingSuspect()
		if st == nil {
			continue
		}
		waiting++
		if longest == nil || st.tasks[i].readySince.Before(longest.tasks[index].readySince) {
			longest, index = st, i
		}
	}
	if longest == nil || now.Sub(longest.tasks[index].readySince) < trialPatience {
		return
	}
	s.trialLoggedAt = now
	usable, occupied := s.usable(now), s.trialRunners(now)
	idle, silent, kept := 0, 0, 0
	for _, r := range usable {
		if len(r.runs) == 0 {
			idle++
		}
	}
	var holders []string
	for r, b := range occupied {
		if !r.silentAt.IsZero() {
			silent++
		}
		if slices.Contains(b.trialRunners, r) {
			kept++
		}
		holders = append(holders, string(r.info.ID)+" "+string(b.id))
	}
	slices.Sort(holders)
	holders = holders[:min(len(holders), trialLogHolders)]
	b, t := longest.occurrence.batch, &longest.tasks[index]
	s.addEvent("untried", "batch", b.id, "step", longest.index, "task", index, "wait", now.Sub(t.readySince).Milliseconds(), "why", string(b.trialBlock),
		"crashes", t.crashCount(), "waiting", waiting, "usable", len(usable), "idle", idle, "places", trialPlaces(len(usable), idle),
		"held", len(occupied), "silent", silent, "kept", kept, "holders", strings.Join(holders, ", "))
}

// longestPendingSuspect returns the suspect task of a batch that has waited longest to be started,
// and nil if there is none.
func (b *batch) longestPendingSuspect() (longest *step, index int) {
	if b.state.IsFinal() {
		return nil, 0
	}
	for _, o := range b.occurrences {
		for _, st := range o.steps {
			if !o.started || !st.isReady() {
				continue
			}
			for _, i := range st.pendingSuspects() {
				if longest == nil || st.tasks[i].readySince.Before(longest.tasks[index].readySince) {
					longest, index = st, i
				}
			}
		}
	}
	return longest, index
}
