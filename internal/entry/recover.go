package entry

import (
	"fmt"
	"runtime/debug"
	"time"
)

// recoverPanic runs f. A panic in f is logged under the name of the activity and counted; it ends only f, not the process.
func (e *Entry) recoverPanic(activity string, f func()) {
	defer func() {
		if value := recover(); value != nil {
			e.panics.Add(1)
			e.Log.Every("fault "+activity, time.Second).Error("panic recovered", "in", activity, "fault", fmt.Sprint(value), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// RecoveredPanics returns the number of panics that were recovered.
func (e *Entry) RecoveredPanics() uint64 { return e.panics.Load() }
