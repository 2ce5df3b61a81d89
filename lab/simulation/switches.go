package simulation

import "sync"

// faultSettings holds the fault settings of one emulated component. Overlapping
// faults each change their own fields.
type faultSettings[F any] struct {
	set func(F)

	// mutex guards value, the settings applied last.
	mutex sync.Mutex
	value F
}

// update changes the settings and applies them.
func (w *faultSettings[F]) update(alter func(*F)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	alter(&w.value)
	w.set(w.value)
}
