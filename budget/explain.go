package budget

// Reasons to wait that follow from the wave.
const (
	WaitPaused   Wait = "paused"   // the contract pauses the wave
	WaitCanceled Wait = "canceled" // the contract cancels the wave
	WaitDone     Wait = "done"     // every host was maintained
	WaitNoWave   Wait = "nowave"   // the contract declares no wave
	WaitMembers  Wait = "members"  // none of the hosts left to maintain serves
)

var explanations = map[Wait]string{
	WaitNone:     "the next host can be taken down",
	WaitDown:     "as many hosts are down as the budget allows at once",
	WaitMinutes:  "the down time allowed in the window is spent or reserved",
	WaitHeadroom: "losing the largest failure domain as well would leave fewer serving hosts than promised",
	WaitMember:   "the host does not serve in this pool",
	WaitPaused:   "the contract pauses the wave",
	WaitCanceled: "the contract cancels the wave",
	WaitDone:     "every host was maintained",
	WaitNoWave:   "the contract declares no wave",
	WaitMembers:  "none of the hosts left to maintain is serving",
}

// Explain returns a sentence for operators. A reason without one is returned as
// it is.
func Explain(wait Wait) string {
	if text, ok := explanations[wait]; ok {
		return text
	}
	return string(wait)
}
