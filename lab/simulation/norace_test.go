//go:build !race

package simulation

// bubblesAtOnce bounds the bubbles that run beside each other; without the race
// detector only -parallel does.
const bubblesAtOnce = 1024
