package experiment

import (
	"context"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/banksail/banksail/lab/experiment/cluster"
)

// Cell is one workload under one fault set and one policy, over all seeds.
type Cell struct {
	Workload string
	Fault    string
	Policy   string
	Summary  *Summary
}

// Options sets up a run of the grid.
type Options struct {
	// Parallel bounds the simulations that run at once; one per processor when zero.
	Parallel int
	// Progress is told after each simulation how many of all are done; it may be nil.
	Progress func(done, all int)
}

// planned is a cell whose seeds are to be run.
type planned struct {
	cell     *Cell
	scenario *cluster.Scenario
	policy   cluster.Policy
	results  []*cluster.Result
}

// Run runs the whole grid. It returns the cells in the file's order.
func Run(ctx context.Context, file *File, options Options) ([]*Cell, error) {
	cells := file.plan()
	parallel := options.Parallel
	if parallel <= 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	finished := make(chan *planned)
	go func() {
		defer close(finished)
		runAll(ctx, file, cells, parallel, finished)
	}()
	collect(cells, finished, options.Progress)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("experiment: stopped: %w", err)
	}
	grid := make([]*Cell, 0, len(cells))
	for _, each := range cells {
		grid = append(grid, each.cell)
	}
	return grid, nil
}

// runAll runs each seed of each cell and names the cell after each.
func runAll(ctx context.Context, file *File, cells []*planned, parallel int, finished chan<- *planned) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, each := range cells {
		for index := range file.Seeds.Count {
			if ctx.Err() != nil {
				break
			}
			group.Go(func() error {
				seed := file.Seeds.First + uint64(index)
				each.results[index] = cluster.Run(each.scenario, each.policy, seed, nil)
				finished <- each
				return nil
			})
		}
	}
	_ = group.Wait()
}

// collect sums up each cell as soon as its last seed is done.
func collect(cells []*planned, finished <-chan *planned, progress func(done, all int)) {
	left := make(map[*planned]int, len(cells))
	all := 0
	for _, each := range cells {
		left[each] = len(each.results)
		all += len(each.results)
	}
	done := 0
	for each := range finished {
		done++
		left[each]--
		if left[each] == 0 {
			each.cell.Summary = summarise(each.results)
			each.results = nil
		}
		if progress != nil {
			progress(done, all)
		}
	}
}

func (f *File) plan() []*planned {
	var cells []*planned
	for _, workload := range f.Workloads {
		for _, faults := range f.Faults {
			if !workload.runsUnder(faults.Name) {
				continue
			}
			scenario := f.scenario(workload, faults)
			for _, decided := range f.Policies {
				cells = append(cells, &planned{
					cell:     &Cell{Workload: workload.Name, Fault: faults.Name, Policy: decided.Name},
					scenario: scenario,
					policy:   decided.build(scenario),
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
