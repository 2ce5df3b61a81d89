package experiment

import (
	"context"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/banksail/banksail/lab/experiment/cluster"
)

// Cell is the result of one workload under one fault set and one policy, over
// all seeds.
type Cell struct {
	Workload string
	Fault    string
	Policy   string
	Summary  *Summary
}

// Options configures Run.
type Options struct {
	// Parallel is the maximum number of concurrent simulations; zero means
	// GOMAXPROCS.
	Parallel int
	// Progress is called after each simulation with the number of completed
	// simulations and the total, from one goroutine at a time. It may be nil.
	Progress func(done, total int)
}

// cellRuns holds a cell and the inputs and results of its simulations, one result
// per seed.
type cellRuns struct {
	cell     *Cell
	scenario *cluster.Scenario
	policy   cluster.Policy
	results  []*cluster.Result
}

// Run simulates the grid and returns its cells in the order of the file. If
// ctx is cancelled it starts no further simulations and returns ctx's error.
func Run(ctx context.Context, file *File, options Options) ([]*Cell, error) {
	cells := file.plan()
	parallel := options.Parallel
	if parallel <= 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	finished := make(chan *cellRuns)
	go func() {
		defer close(finished)
		runAll(ctx, file, cells, parallel, finished)
	}()
	collectResults(cells, finished, options.Progress)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("experiment: run stopped: %w", err)
	}
	grid := make([]*Cell, 0, len(cells))
	for _, runs := range cells {
		grid = append(grid, runs.cell)
	}
	return grid, nil
}

// runAll simulates each seed of each cell and sends the cell to finished after
// each simulation.
func runAll(ctx context.Context, file *File, cells []*cellRuns, parallel int, finished chan<- *cellRuns) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, runs := range cells {
		for index := range file.Seeds.Count {
			if ctx.Err() != nil {
				break
			}
			group.Go(func() error {
				seed := file.Seeds.First + uint64(index)
				runs.results[index] = cluster.Run(runs.scenario, runs.policy, seed, nil)
				finished <- runs
				return nil
			})
		}
	}
	_ = group.Wait()
}

// collectResults summarises each cell as soon as its last seed has finished and
// then drops the results of its seeds.
func collectResults(cells []*cellRuns, finished <-chan *cellRuns, progress func(done, total int)) {
	remaining := make(map[*cellRuns]int, len(cells))
	total := 0
	for _, runs := range cells {
		remaining[runs] = len(runs.results)
		total += len(runs.results)
	}
	done := 0
	for runs := range finished {
		done++
		remaining[runs]--
		if remaining[runs] == 0 {
			runs.cell.Summary = summarise(runs.results)
			runs.results = nil
		}
		if progress != nil {
			progress(done, total)
		}
	}
}

func (f *File) plan() []*cellRuns {
	var cells []*cellRuns
	for _, workload := range f.Workloads {
		for _, faults := range f.Faults {
			if !workload.runsUnder(faults.Name) {
				continue
			}
			scenario := f.scenario(workload, faults)
			for _, configured := range f.Policies {
				cells = append(cells, &cellRuns{
					cell:     &Cell{Workload: workload.Name, Fault: faults.Name, Policy: configured.Name},
					scenario: scenario,
					policy:   configured.build(scenario),
					results:  make([]*cluster.Result, f.Seeds.Count),
				})
			}
		}
	}
	return cells
}

func (w Workload) runsUnder(fault string) bool {
	if len(w.Faults) == 0 {
		return true
	}
	for _, name := range w.Faults {
		if name == fault {
			return true
		}
	}
	return false
}
