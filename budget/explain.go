package budget

// Reasons of a wave to wait, beside those of the budget.
const (
	WaitPaused   Wait = "paused"   // the contract says pause
	WaitCanceled Wait = "canceled" // the contract says cancel
	WaitDone     Wait = "done"     // every host was maintained
	WaitNoWave   Wait = "nowave"   // the contract declares no wave
	WaitMembers  Wait = "members"  // the hosts left to maintain don't serve
)

var explanations = map[Wait]string{
	WaitNone:     "the next host can be taken down",
	WaitDown:     "as many hosts are down as the budget allows at once",
	WaitMinutes:  "the down time of the window is spent or reserved",
	WaitHeadroom: "losing the largest failure domain next would break the promise",
	WaitMember:   "the host does not serve in this pool",
	WaitPaused:   "the contract pauses the wave",
	WaitCanceled: "the contract cancels the wave",
	WaitDone:     "every host was maintained",
	WaitNoWave:   "the contract declares no wave",
	WaitMembers:  "the hosts left to maintain are down",
}

// Explain returns a sentence for operators.
func Explain(wait Wait) string {
	if text, ok := explanations[wait]; ok {
		return text
	}
	return string(wait)
}
