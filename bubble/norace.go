//go:build !race

package bubble

const isRace = false
