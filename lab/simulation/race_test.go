//go:build race

package simulation

// maxConcurrentBubbles limits the synctest bubbles that run concurrently. With
// a dozen of them, the race detector's runtime has failed an internal check
// ("CHECK failed: tsan_rtl.cpp").
const maxConcurrentBubbles = 3
