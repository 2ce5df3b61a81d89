package front

import (
	"testing"
	"time"
)

// What a node knows of the time before a restore depends on whether it followed the registry until then.
// One that was suspended meanwhile may have missed what the others wrote.
func TestViewHistoryAcrossRestores(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		play                     func(h *viewHistory)
		sawRestore, viewOutdated bool
	}{
		"started after the restore": {func(h *viewHistory) { h.recordView(second, second, 2) }, false, false},
		"followed it": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.recordView(second, second, 2)
		}, true, false},
		"followed it during passes": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.startPasses(0)
			h.recordPass(second / 10)
			h.recordView(second/5, second/5, 2)
		}, true, false},
		"not active, so no passes": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.startPasses(0)
			h.endPasses()
			h.recordView(second, second, 2)
		}, true, false},
		"suspended, no view since": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.startPasses(0)
			h.recordPass(second)
		}, false, true},
		"suspended, view of the same epoch since": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.startPasses(0)
			h.recordPass(second)
			h.recordView(2*second, 2*second, 1)
		}, false, false},
		"suspended through the restore, noticed by the view": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.recordView(second/2, second/2, 2)
			h.startPasses(second / 2)
			h.recordView(5*second, 5*second, 3)
		}, false, false},
		"a write was rejected, and no view shows why": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.recordConflict(second)
			h.recordView(2*second, second/2, 1)
		}, false, true},
		"a write was rejected, and the reason lost in the restore": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.recordConflict(second)
			h.recordView(2*second, 2*second, 2)
		}, false, false},
		"an older epoch is told late": {func(h *viewHistory) {
			h.recordView(0, 0, 1)
			h.recordView(second, second, 2)
			h.recordView(2*second, 2*second, 1)
		}, true, false},
	} {
		var h viewHistory
		test.play(&h)
		if got := h.forDecider(0, 0); got.SawRestore != test.sawRestore || got.ViewOutdated != test.viewOutdated {
			t.Errorf("%s: saw the restore %t, view outdated %t", name, got.SawRestore, got.ViewOutdated)
		}
	}
}
