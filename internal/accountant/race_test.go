//go:build race

package accountant_test

// raceDetector says that a test runs about ten times slower.
const raceDetector = true
