//go:build race

package main

// raceDetector reports whether this binary has the race detector, whose own memory is many times that of the program.
const raceDetector = true
