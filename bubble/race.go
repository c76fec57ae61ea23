//go:build race

package bubble

const isRace = true
