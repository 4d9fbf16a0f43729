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

// ErrUnknown is why an exploration is not begun: there is no such world.
var ErrUnknown = errors.New("explore: no such world")

// Limits bound an exploration. Zero is no bound.
type Limits struct {
	Workers int
	States  int64 // distinct states, and so memory: about 8 kB each while they wait to be expanded
	Time    time.Duration
}

// Result is what an exploration found.
type Result struct {
	World       string        `json:"world"`
	Transitions int64         `json:"transitions"` // events tried
	Distinct    int64         `json:"distinct"`    // states, told apart by their canonical form
	Ends        int64         `json:"ends"`        // of them, those in which nothing more may come
	Depth       int           `json:"depth"`       // events of the longest of the shortest ways to a state
	Widest      int           `json:"widest"`      // states at one depth
	Complete    bool          `json:"complete"`    // all states were reached
	Took        time.Duration `json:"took_ns"`
	Broken      string        `json:"broken,omitempty"` // the property that does not hold, and what shows it
	Path        []string      `json:"path,omitempty"`   // a shortest way there
}

// node is a state on the frontier and the way to it.
type node struct {
	m    *model
	from *trail
}

// trail is how a state was reached, from its end.
type trail struct {
	what string
	from *trail
}

func (t *trail) path() (list []string) {
	for ; t != nil; t = t.from {
		list = append(list, t.what)
	}
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	return list
}

// Run explores a world breadth first, so that what it finds has a shortest way. All states of one depth are expanded, shared among
// workers, before those of the next; the set of states seen is lock-free.
func Run(w World, limits Limits) (Result, error) {
	start := time.Now()
	res := Result{World: w.Name}
	first, err := newModel(&w)
	if err != nil {
		return res, err
	}
	if limits.Workers <= 0 {
		limits.Workers = runtime.GOMAXPROCS(0)
	}
	seen := xsync.NewMap[xxh3.Uint128, struct{}]()
	seen.Store(xxh3.Hash128(first.state(nil)), struct{}{})
	res.Distinct = 1
	frontier := []node{{first, nil}}
	x := &search{limits: limits, start: start, seen: seen}
	x.distinct.Store(1)
	for len(frontier) > 0 && res.Broken == "" && !x.over.Load() {
		res.Widest = max(res.Widest, len(frontier))
		parts := make([]part, limits.Workers)
		var at atomic.Int64
		var wait sync.WaitGroup
		for i := range parts {
			wait.Go(func() { parts[i].expand(x, frontier, &at) })
		}
		wait.Wait()
		frontier = nil
		for i := range parts {
			p := &parts[i]
			if p.err != nil {
				return res, p.err
			}
			res.Transitions += p.transitions
			res.Ends += p.ends
			frontier = append(frontier, p.found...)
			if p.broken != "" && (res.Broken == "" || strings.Join(p.path, "\n") < strings.Join(res.Path, "\n")) {
				res.Broken, res.Path = p.broken, p.path // of several at one depth always the same one
			}
		}
		res.Distinct += int64(len(frontier))
		if len(frontier) > 0 {
			res.Depth++
		}
	}
	res.Complete, res.Took = res.Broken == "" && !x.over.Load(), time.Since(start)
	return res, nil
}

// part is what one worker finds at one depth.
type part struct {
	found             []node
	transitions, ends int64
	broken            string
	path              []string
	err               error
	buf               []byte
}

const take = 16 // states that a worker takes at a time

// search is what the workers share.
type search struct {
	limits   Limits
	start    time.Time
	seen     *xsync.Map[xxh3.Uint128, struct{}]
	distinct atomic.Int64
	over     atomic.Bool // a bound was reached
}

func (p *part) expand(x *search, frontier []node, at *atomic.Int64) {
	for p.err == nil && !x.over.Load() {
		if x.limits.States > 0 && x.distinct.Load() >= x.limits.States || x.limits.Time > 0 && time.Since(x.start) > x.limits.Time {
			x.over.Store(true)
			return
		}
		low := int(at.Add(take)) - take
		if low >= len(frontier) {
			return
		}
		for i := low; i < min(low+take, len(frontier)) && p.err == nil; i++ {
			p.try(x, frontier[i])
			frontier[i].m = nil // its room serves again
		}
	}
}

func (p *part) try(x *search, n node) {
	list := n.m.next()
	if len(list) == 0 {
		p.ends++
	}
	for _, s := range list {
		m, err := n.m.clone()
		if err != nil {
			p.err = err
			return
		}
		p.transitions++
		s.do(m)
		m.check()
		way := &trail{s.what, n.from}
		if m.broken != "" {
			if path := way.path(); p.broken == "" || strings.Join(path, "\n") < strings.Join(p.path, "\n") {
				p.broken, p.path = m.broken, path
			}
			continue
		}
		p.buf = m.state(p.buf[:0])
		if _, known := x.seen.LoadOrStore(xxh3.Hash128(p.buf), struct{}{}); !known {
			x.distinct.Add(1)
			p.found = append(p.found, node{m, way})
		}
	}
}

// Find is the world of a name.
func Find(name string) (World, error) {
	for _, w := range Worlds() {
		if w.Name == name {
			return w, nil
		}
	}
	return World{}, ErrUnknown
}
