//go:build !race

package simulation

// maxConcurrentBubbles bounds the bubbles that run beside each other; without the race
// detector only -parallel does.
const maxConcurrentBubbles = 1024
