package simulation

import "sync"

// faultSettings holds the fault switches of one stand-in. Faults that overlap each
// change their own fields.
type faultSettings[F any] struct {
	set func(F)

	// mutex guards value, which is what was last set.
	mutex sync.Mutex
	value F
}

// update alters the switches.
func (w *faultSettings[F]) update(alter func(*F)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	alter(&w.value)
	w.set(w.value)
}
