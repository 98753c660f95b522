package localitysim

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Cell is one run of a sweep: a policy with one value for each axis.
type Cell struct {
	Policy Policy
	Axes   []string
	Values []float64
	Scene  Scene
	Result *Result
}

// Cells returns the runs of a file, in order, without results: every policy for every combination of the axes' values.
func (f *File) Cells() (cells []*Cell, err error) {
	values := [][]float64{{}}
	var axes []string
	for _, a := range f.Sweep {
		axes = append(axes, a.Key)
		var next [][]float64
		for _, have := range values {
			for _, v := range a.Values {
				next = append(next, append(append([]float64{}, have...), v))
			}
		}
		values = next
	}
	for _, v := range values {
		for _, p := range f.Policies {
			c := &Cell{Policy: p, Axes: axes, Values: v, Scene: f.Scene}
			c.Scene.Policy = p
			for i, key := range axes {
				if err := c.Scene.Set(key, v[i]); err != nil {
					return nil, err
				}
			}
			cells = append(cells, c)
		}
	}
	return cells, nil
}

// RunCells runs all cells, on up to GOMAXPROCS goroutines, and returns them with their results. After each cell it calls
// progress, unless that is nil; calls don't overlap. It runs all cells even if some fail, and returns the first error.
func (f *File) RunCells(progress func(done, all int, c *Cell, took time.Duration)) ([]*Cell, error) {
	cells, err := f.Cells()
	if err != nil {
		return nil, err
	}
	run := Run
	if f.Directed {
		run = RunWithDirectors
	}
	next := make(chan *Cell)
	var mu sync.Mutex
	var all sync.WaitGroup
	done := 0
	for range min(runtime.GOMAXPROCS(0), len(cells)) {
		all.Go(func() {
			for c := range next {
				began := time.Now()
				r, e := run(c.Scene)
				mu.Lock()
				if c.Result = r; e != nil && err == nil {
					err = fmt.Errorf("%s: %w", c.Name(), e)
				}
				done++
				if progress != nil {
					progress(done, len(cells), c, time.Since(began))
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range cells {
		next <- c
	}
	close(next)
	all.Wait()
	return cells, err
}

// Row is one second of one run, as WriteParquet writes it.
type Row struct {
	Policy     string  `parquet:"policy,dict"`
	X          float64 `parquet:"x"` // value on the sweep's first axis, 0 without one; Y is that of the second
	Y          float64 `parquet:"y"`
	Second     int32   `parquet:"second"`
	Asked      int32   `parquet:"asked"`
	InAim      int32   `parquet:"in_aim"`
	Late       int32   `parquet:"late"`
	Failed     int32   `parquet:"failed"`
	Refused    int32   `parquet:"refused"`
	Spilled    int32   `parquet:"spilled"`
	Fills      int32   `parquet:"fills"`
	Origin     int32   `parquet:"origin"`
	Hits       int32   `parquet:"hits"`
	Reads      int32   `parquet:"reads"`
	Worth      float64 `parquet:"worth"`
	WorthAsked float64 `parquet:"worth_asked"`
}

// WriteParquet writes the whole seconds of all cells that lie after Scene.Warm to a Parquet file.
func WriteParquet(path string, cells []*Cell) (err error) {
	var rows []Row
	for _, c := range cells {
		for i, s := range c.Result.Seconds {
			if at := time.Duration(i) * time.Second; at < c.Scene.Warm || at+time.Second > c.Scene.For {
				continue
			}
			r := Row{Policy: string(c.Policy), Second: int32(i), Asked: int32(s.Asked), InAim: int32(s.InAim), Late: int32(s.Late), Failed: int32(s.Failed),
				Refused: int32(s.Refused), Fills: int32(s.Fills), Origin: int32(s.Origin), Hits: int32(s.Hits), Reads: int32(s.Reads),
				Worth: s.Worth, WorthAsked: s.WorthAsked}
			for _, n := range s.Spilled {
				r.Spilled += int32(n)
			}
			if len(c.Values) > 0 {
				r.X = c.Values[0]
			}
			if len(c.Values) > 1 {
				r.Y = c.Values[1]
			}
			rows = append(rows, r)
		}
	}
	if err := parquet.WriteFile(path, rows); err != nil {
		return fmt.Errorf("scene: can't write rows: %w", err)
	}
	if _, err := os.Stat(path); err != nil {
		return fmt.Errorf("scene: can't write rows: %w", err)
	}
	return nil
}

// Worth returns the share of the priority weight that was served within the latency objective, after Scene.Warm.
func (c *Cell) Worth() float64 { return c.Result.ServedWorthShare(c.Scene.Warm, c.Scene.For) }

// Worst returns the least such share over any span of a number of consecutive seconds after Scene.Warm.
func (c *Cell) Worst(seconds int) float64 {
	worst := 1.0
	for i := int(c.Scene.Warm / time.Second); time.Duration(i+seconds)*time.Second <= c.Scene.For; i++ {
		worst = min(worst, c.Result.ServedWorthShare(time.Duration(i)*time.Second, time.Duration(i+seconds)*time.Second))
	}
	return worst
}
