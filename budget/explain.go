package budget

// Reasons to wait that follow from the wave.
const (
	WaitPaused      WaitReason = "paused"   // the contract pauses the wave
	WaitCanceled    WaitReason = "canceled" // the contract cancels the wave
	WaitDone        WaitReason = "done"     // every host was maintained
	WaitNoWave      WaitReason = "nowave"   // the contract declares no wave
	WaitNoneServing WaitReason = "members"  // none of the hosts left to maintain serves
)

var explanations = map[WaitReason]string{
	WaitNone:        "the next host can be taken down",
	WaitDown:        "as many hosts are down as the budget allows at once",
	WaitDownTime:    "the down time of the window is spent or reserved",
	WaitHeadroom:    "losing the largest failure domain next would break the promise",
	WaitNotServing:  "the host does not serve in this pool",
	WaitSurplus:     "the pool has no more hosts that serve than it needs",
	WaitPaused:      "the contract pauses the wave",
	WaitCanceled:    "the contract cancels the wave",
	WaitDone:        "every host was maintained",
	WaitNoWave:      "the contract declares no wave",
	WaitNoneServing: "the hosts left to maintain are down",
}

// Explain returns a sentence for operators. A reason without one is returned as
// it is.
func Explain(wait WaitReason) string {
	if text, ok := explanations[wait]; ok {
		return text
	}
	return string(wait)
}
