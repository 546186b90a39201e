//go:build !race

package accountant_test

const raceDetector = false
