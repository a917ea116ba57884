package bench

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// closeGrace is the virtual time that runVariant waits before its synctest bubble ends, so that handlers of stand-in targets
// that wait for a timer can return.
const closeGrace = time.Second

// RunVirtual does the same as RunAll, over the in-memory network and with virtual time: the clock advances only when every
// goroutine is blocked, so that neither the speed nor the load of the machine changes the figures. Each run has a synctest
// bubble of its own, and up to opt.Parallel runs take place at the same time. RunVirtual calls finish with the reports of the
// runs that succeeded, in the order of RunAll, and with the joined errors of the runs that failed.
//
// A bubble needs a testing.T, so the experiments run as the tests of a test program: RunVirtual doesn't return but ends
// the process, with status 1 if finish returns an error. Tests call RunAll inside a bubble instead.
func RunVirtual(exps []Experiment, opt Options, finish func([]Report, error) error) {
	testing.Init()
	// Package testing requires parsed flags, but the arguments of this program are not flags of a test program. Parse can't fail
	// without arguments.
	_ = flag.CommandLine.Parse(nil)
	if err := flag.Set("test.parallel", strconv.Itoa(max(opt.Parallel, 1))); err != nil {
		panic(err) // the flag is part of package testing
	}
	opt.Network = InMemory
	v := virtualRuns{opt: opt, reports: make([]*Report, len(exps)*len(opt.Variants))}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "experiments", F: func(t *testing.T) {
		t.Run("runs", func(t *testing.T) { v.run(t, exps) })
		if err := finish(v.results()); err != nil {
			t.Error(err)
		}
	}}}, nil, nil)
}

// results returns the reports of the runs that succeeded, and the errors of the others.
func (v *virtualRuns) results() ([]Report, error) {
	var out []Report
	for _, r := range v.reports {
		if r != nil {
			out = append(out, *r)
		}
	}
	return out, errors.Join(v.errs...)
}

// virtualRuns collects the reports and errors of runs in synctest bubbles.
type virtualRuns struct {
	opt     Options
	mu      sync.Mutex
	reports []*Report // by index of the run; nil if the run failed
	errs    []error
}

// run runs every experiment with every variant as a parallel subtest.
func (v *virtualRuns) run(t *testing.T, exps []Experiment) {
	for i, e := range exps {
		for j, variant := range v.opt.Variants {
			t.Run(fmt.Sprintf("%s/%s", e.Name, variant.Name), func(t *testing.T) {
				t.Parallel()
				if v.opt.Progress != nil {
					v.opt.Progress(e, variant)
				}
				synctest.Test(t, func(t *testing.T) { v.runVariant(t.Context(), i*len(v.opt.Variants)+j, e, variant) })
			})
		}
	}
}

// runVariant runs an experiment with one variant and stores the report at the index, or the error.
func (v *virtualRuns) runVariant(ctx context.Context, index int, e Experiment, variant Variant) {
	opt := v.opt
	opt.Variants, opt.Progress = []Variant{variant}, nil
	reports, err := RunAll(ctx, []Experiment{e}, opt)
	time.Sleep(closeGrace)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.errs = append(v.errs, err)
		return
	}
	v.reports[index] = &reports[0]
}
