//go:build race

package simulation

// maxConcurrentBubbles bounds the bubbles that run beside each other. The race
// detector's runtime has failed a check of its own ("CHECK failed:
// tsan_rtl.cpp") with a dozen of them.
const maxConcurrentBubbles = 3
