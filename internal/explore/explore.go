package explore

import (
	"errors"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
	"github.com/zeebo/xxh3"
)

// ErrUnknownWorld reports that no world has the given name.
var ErrUnknownWorld = errors.New("explore: no such world")

// Limits bounds an exploration. Zero means no bound.
type Limits struct {
	Workers int // zero means GOMAXPROCS
	// MaxStates bounds the distinct states, and thereby the memory: a state on the frontier takes about 8 kB.
	MaxStates   int64
	MaxDuration time.Duration
}

// Result reports what an exploration found.
type Result struct {
	World       string        `json:"world"`
	Transitions int64         `json:"transitions"` // events applied
	Distinct    int64         `json:"distinct"`    // distinct states by canonical form
	FinalStates int64         `json:"ends"`        // distinct states in which no event is possible
	Depth       int           `json:"depth"`       // greatest distance of a state from the initial one, in events
	MaxWidth    int           `json:"widest"`      // most states at one depth
	Complete    bool          `json:"complete"`    // no bound was reached and no property was violated
	Duration    time.Duration `json:"took_ns"`
	Violation   string        `json:"broken,omitempty"` // the violated property, with details
	Path        []string      `json:"path,omitempty"`   // a shortest sequence of events that leads to the violation
}

// node is a state on the frontier, with the events that led to it.
type node struct {
	model *model
	trace *eventTrace
}

// eventTrace is the sequence of events that led to a state, as a linked list with the latest event first.
type eventTrace struct {
	event    string
	previous *eventTrace
}

// events returns the events of the trace, earliest first.
func (t *eventTrace) events() (list []string) {
	for ; t != nil; t = t.previous {
		list = append(list, t.event)
	}
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	return list
}

// Run explores a world breadth first, so that the path to a violation is a shortest one. The workers expand all
// states of one depth before any of the next, and share a lock-free set of the states seen so far. Run returns an
// error if a router cannot be created or cloned; a violation is reported in the Result.
func Run(world World, limits Limits) (Result, error) {
	start := time.Now()
	result := Result{World: world.Name}
	initial, err := newModel(&world)
	if err != nil {
		return result, err
	}
	if limits.Workers <= 0 {
		limits.Workers = runtime.GOMAXPROCS(0)
	}
	seen := xsync.NewMap[xxh3.Uint128, struct{}]()
	seen.Store(xxh3.Hash128(initial.appendState(nil)), struct{}{})
	result.Distinct = 1
	frontier := []node{{initial, nil}}
	shared := &sharedSearch{limits: limits, start: start, seen: seen}
	shared.distinctStates.Store(1)
	for len(frontier) > 0 && result.Violation == "" && !shared.limitReached.Load() {
		result.MaxWidth = max(result.MaxWidth, len(frontier))
		workers := make([]worker, limits.Workers)
		var nextIndex atomic.Int64
		var wait sync.WaitGroup
		for i := range workers {
			wait.Go(func() { workers[i].expandFrontier(shared, frontier, &nextIndex) })
		}
		wait.Wait()
		frontier = nil
		for i := range workers {
			worker := &workers[i]
			if worker.err != nil {
				return result, worker.err
			}
			result.Transitions += worker.transitions
			result.FinalStates += worker.finalStates
			frontier = append(frontier, worker.discovered...)
			// Of several violations at one depth, report the one with the smallest path, independently of scheduling.
			if worker.violation != "" && (result.Violation == "" ||
				strings.Join(worker.path, "\n") < strings.Join(result.Path, "\n")) {
				result.Violation, result.Path = worker.violation, worker.path
			}
		}
		result.Distinct += int64(len(frontier))
		if len(frontier) > 0 {
			result.Depth++
		}
	}
	result.Complete, result.Duration = result.Violation == "" && !shared.limitReached.Load(), time.Since(start)
	return result, nil
}

// worker collects what one worker finds at one depth.
type worker struct {
	discovered               []node
	transitions, finalStates int64
	violation                string
	path                     []string
	err                      error
	buffer                   []byte
}

const batchSize = 16 // states a worker claims at a time

// sharedSearch is the state shared by the workers.
type sharedSearch struct {
	limits         Limits
	start          time.Time
	seen           *xsync.Map[xxh3.Uint128, struct{}]
	distinctStates atomic.Int64
	limitReached   atomic.Bool // tells the workers to stop
}

// expandFrontier claims batches of the frontier and expands them until none is left or a bound is reached.
func (w *worker) expandFrontier(shared *sharedSearch, frontier []node, nextIndex *atomic.Int64) {
	for w.err == nil && !shared.limitReached.Load() {
		if shared.limits.MaxStates > 0 && shared.distinctStates.Load() >= shared.limits.MaxStates ||
			shared.limits.MaxDuration > 0 && time.Since(shared.start) > shared.limits.MaxDuration {
			shared.limitReached.Store(true)
			return
		}
		low := int(nextIndex.Add(batchSize)) - batchSize
		if low >= len(frontier) {
			return
		}
		for i := low; i < min(low+batchSize, len(frontier)) && w.err == nil; i++ {
			w.expandState(shared, frontier[i])
			frontier[i].model = nil // allows the state to be garbage collected
		}
	}
}

// expandState applies every possible event to a clone of the state, checks the properties and collects new states.
func (w *worker) expandState(shared *sharedSearch, parent node) {
	steps := parent.model.nextSteps()
	if len(steps) == 0 {
		w.finalStates++
	}
	for _, s := range steps {
		m, err := parent.model.clone()
		if err != nil {
			w.err = err
			return
		}
		w.transitions++
		s.apply(m)
		m.checkProperties()
		trace := &eventTrace{s.description, parent.trace}
		if m.violation != "" {
			if path := trace.events(); w.violation == "" || strings.Join(path, "\n") < strings.Join(w.path, "\n") {
				w.violation, w.path = m.violation, path
			}
			continue
		}
		w.buffer = m.appendState(w.buffer[:0])
		if _, known := shared.seen.LoadOrStore(xxh3.Hash128(w.buffer), struct{}{}); !known {
			shared.distinctStates.Add(1)
			w.discovered = append(w.discovered, node{m, trace})
		}
	}
}

// FindWorld returns the world with the given name, or ErrUnknownWorld.
func FindWorld(name string) (World, error) {
	for _, w := range Worlds() {
		if w.Name == name {
			return w, nil
		}
	}
	return World{}, ErrUnknownWorld
}
