package sched

// whyOverfull returns why the first attempt of a start may no longer be sent; empty if it may. Since the decision its runner
// may have shrunk, may have restarted, which ends what was known of its kind, its token and its stops, and may have
// listed runs that were given up or that another leader started. Such runs on any runner count against the limit of their
// tenant again. The run itself counts as placed.
func (n *run) whyOverfull() string {
	r, need, t := n.runner, allocation(n.step.rule), n.step.occurrence.batch.tenant
	switch {
	case !need.Fits(r.info.Capacity.Minus(r.used.Minus(need))):
		return "room"
	case n.step.rule.MaxPerRunner > 0 && r.runsOf(n.step) > n.step.rule.MaxPerRunner:
		return "spread"
	case t.isLimited() && t.room(whole(n.step.rule), t.inUse().Minus(whole(n.step.rule)), t.allowance.Share, 1) == 0:
		return "limit"
	case r.incarnation != n.incarnation:
		return "restarted"
	}
	return ""
}

// runsOf returns the number of runs of a step that are or may be on a runner, in whatever phase and whichever leader
// started them.
func (r *runner) runsOf(st *step) int {
	count := 0
	for n := range r.runs {
		if n.step == st {
			count++
		}
	}
	return count
}
