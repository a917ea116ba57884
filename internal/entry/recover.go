package entry

import (
	"fmt"
	"runtime/debug"
	"time"
)

// recoverPanic runs f. A fault of the program in it is logged and counted, and costs what f was to do, not the process.
func (e *Entry) recoverPanic(what string, f func()) {
	defer func() {
		if value := recover(); value != nil {
			e.panics.Add(1)
			e.Log.Every("fault "+what, time.Second).Error("a fault of the program was caught", "in", what, "fault", fmt.Sprint(value), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// Faults returns the number of faults of the program that were caught.
func (e *Entry) Faults() uint64 { return e.panics.Load() }
