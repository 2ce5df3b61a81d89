//go:build !race

package simulation

// maxConcurrentBubbles limits the synctest bubbles that run concurrently.
// Without the race detector the limit is high enough that only -parallel
// applies.
const maxConcurrentBubbles = 1024
