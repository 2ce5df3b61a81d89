package simulation

import "sync"

// switches holds the fault switches of one stand-in. Faults that overlap each
// change their own fields.
type switches[F any] struct {
	set func(F)

	// mutex guards value, which is what was last set.
	mutex sync.Mutex
	value F
}

// change alters the switches.
func (w *switches[F]) change(alter func(*F)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	alter(&w.value)
	w.set(w.value)
}
