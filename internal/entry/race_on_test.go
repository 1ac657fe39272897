//go:build race

package entry

// raceDetector says that the tests run under the race detector.
const raceDetector = true
