// Package middleware puts the router's core before an http.Handler: each HTTP request becomes a request of the
// core, the server that the core chooses goes into the request's context, and the handler's result is the
// outcome of the attempt. It owns the requests that are being served here and one goroutine for the core's
// timers. It must never choose a server, run two attempts of one request at once, or start a goroutine for one.
package middleware

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

const (
	// holdMost bytes of a failed attempt's response are kept until it is known whether another attempt follows.
	holdMost = 64 << 10
	// requestsMost are in the core at once unless Config says otherwise.
	requestsMost = 10_000
)

// Config is what the middleware needs.
type Config struct {
	Settings threadglade.Settings
	Seed     uint64
	Clock    router.Clock // nil: the system's
	// Describe says what a request asks for: class, number, destination, retry and the deadline by which the
	// handler must have begun to answer. Where the request's own context ends earlier, that counts. The ID is
	// the middleware's.
	Describe func(r *http.Request, now time.Duration) router.Request
	Log      zerolog.Logger // the zero value logs nothing
	// Observer hears what happens; nil: nobody does. It is called by whichever goroutine works on the core, one at a time.
	Observer router.Observer
	// Most requests may be in the core at once, 10,000 if 0: more are refused at once.
	Most int
}

// Core is a router whose attempts are runs of an http.Handler.
type Core struct {
	cfg    Config
	router *router.Router
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	calls  map[string]*call
	spans  atomic.Pointer[map[string]time.Duration] // the classes' deadlines
}

// New starts a core; Close ends it. The error names the setting that cannot be served.
func New(cfg Config) (*Core, error) {
	if cfg.Clock == nil {
		cfg.Clock = router.SystemClock()
	}
	if cfg.Most == 0 {
		cfg.Most = requestsMost
	}
	c := &Core{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{}), calls: map[string]*call{}}
	c.spans.Store(spans(cfg.Settings))
	var err error
	c.router, err = router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, Clock: cfg.Clock, Trunk: trunk{c},
		Log: cfg.Log, Wake: c.Wake, Observer: cfg.Observer})
	if err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

// Change puts other settings in force for the requests that come from now on, whole; those that are open keep theirs. An error names
// the setting that cannot be served, and nothing has changed.
func (c *Core) Change(set threadglade.Settings) error {
	err := c.router.Change(set)
	if err == nil {
		c.spans.Store(spans(set))
	}
	return err
}

func spans(set threadglade.Settings) *map[string]time.Duration {
	m := make(map[string]time.Duration, len(set.Classes))
	for _, class := range set.Classes {
		m[class.Name] = class.Deadline
	}
	return &m
}

// run is the one goroutine that drives the core's timers.
func (c *Core) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.router.Tick())
	}
}

// Wake has the timers looked at again; a clock that is moved by hand calls for it.
func (c *Core) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close ends the timers. Requests that are still waiting end with their contexts.
func (c *Core) Close() { c.once.Do(func() { close(c.done) }) }

// List tells the core of its servers.
func (c *Core) List(list threadglade.ServerList) { c.router.UpdateServers(list) }

// Agents tells the core of a server's free agents.
func (c *Core) Agents(a threadglade.Agents) { c.router.ReportAgents(a) }

// Counters returns the core's counters.
func (c *Core) Counters() router.Counters { return c.router.Counters() }

type serverKey struct{}

// Server is the id of the server that the core chose for this request; false outside of a handler.
func Server(ctx context.Context) (string, bool) {
	id, ok := ctx.Value(serverKey{}).(string)
	return id, ok
}

// call is one HTTP request; it is the request's router.Front.
type call struct {
	verdicts chan verdict // what the core says, in order; never full: six attempts and one end at the most
	mu       sync.Mutex
	cancel   context.CancelFunc // of the handler that runs
	given    map[int]bool       // attempts that were given up
}

// verdict is an attempt to be made, or the end.
type verdict struct {
	attempt    *router.Attempt
	refused    bool
	retryAfter time.Duration
	why        router.Failure
}

func (k *call) Established(string, []byte)           {}
func (k *call) Released(string, threadglade.Outcome) {}
func (k *call) Refused(_ string, retryAfter time.Duration) {
	k.verdicts <- verdict{refused: true, retryAfter: retryAfter}
}
func (k *call) Failed(_ string, why router.Failure) { k.verdicts <- verdict{why: why} }

// trunk hands attempts to the goroutines of their requests.
type trunk struct{ c *Core }

func (t trunk) call(id string) *call {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.calls[id]
}

func (t trunk) Send(a router.Attempt) {
	if k := t.call(a.ID); k != nil {
		k.verdicts <- verdict{attempt: &a}
	}
}

func (t trunk) GiveUp(a router.Attempt) {
	if k := t.call(a.ID); k != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.given[a.Index] = true
		if k.cancel != nil {
			k.cancel()
		}
	}
}

func (t trunk) Release(a router.Attempt, _ threadglade.Outcome) { t.GiveUp(a) }

// Handler puts the core before a handler. The handler runs once for each attempt: a response that begins with a
// status below 500 is final, 502 stands for unreachable, 503 for full, 504 for too late and any other for a
// fault. A request with a body gets one attempt.
func (c *Core) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := c.cfg.Clock()
		req := c.cfg.Describe(r, now)
		req.ID = newID()
		span, known := (*c.spans.Load())[req.Class]
		if !known {
			http.Error(w, "no such class", http.StatusBadRequest)
			return
		}
		req.Deadline = min(req.Deadline, now+span) // no caller waits longer than its class goes on trying
		if until, ok := r.Context().Deadline(); ok {
			req.Deadline = min(req.Deadline, now+time.Until(until))
		}
		k := &call{verdicts: make(chan verdict, 4+c.cfg.Settings.Limits.MaxAttempts), given: map[int]bool{}}
		c.mu.Lock()
		full := len(c.calls) >= c.cfg.Most
		if !full {
			c.calls[req.ID] = k
		}
		c.mu.Unlock()
		if full {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		defer func() {
			c.router.Cancel(k, req.ID) // does nothing once there was a final answer
			c.mu.Lock()
			delete(c.calls, req.ID)
			c.mu.Unlock()
		}()
		c.router.Arrive(k, req)
		var last *recorder
		for {
			select {
			case <-r.Context().Done():
				return
			case v := <-k.verdicts:
				switch {
				case v.attempt != nil:
					if last != nil && r.ContentLength != 0 {
						last.finish() // its body is spent: what the first attempt said is final
						return
					}
					last = c.attempt(k, v.attempt, w, r, next)
					if last == nil {
						return
					}
				case v.refused:
					w.Header().Set("Retry-After", strconv.Itoa(max(1, int((v.retryAfter+time.Second-1)/time.Second))))
					http.Error(w, "refused", http.StatusServiceUnavailable)
					return
				case last != nil && last.status >= 500:
					last.finish()
					return
				case v.why == router.DeadlineExceeded:
					http.Error(w, "no server answered in time", http.StatusGatewayTimeout)
					return
				default:
					http.Error(w, "failed", http.StatusInternalServerError)
					return
				}
			}
		}
	})
}

// attempt runs the handler once; nil if its response was final.
func (c *Core) attempt(k *call, a *router.Attempt, w http.ResponseWriter, r *http.Request, next http.Handler) *recorder {
	ctx, cancel := context.WithCancel(context.WithValue(r.Context(), serverKey{}, a.Server))
	defer cancel()
	k.mu.Lock()
	k.cancel = cancel
	if k.given[a.Index] {
		cancel()
	}
	k.mu.Unlock()
	rec := &recorder{w: w, header: http.Header{}, answered: func() bool {
		if ctx.Err() != nil { // given up: what comes now is nobody's answer
			return false
		}
		c.router.Answered(a.ID, a.Index, nil)
		return true
	}}
	clean := false
	defer func() {
		if !clean { // a panic goes on to the server, the core hears of it
			c.router.Ended(a.ID, a.Index, threadglade.Faulted, threadglade.CauseNone)
		}
	}()
	if ctx.Err() == nil {
		next.ServeHTTP(rec, r.WithContext(ctx))
		if rec.status == 0 && ctx.Err() == nil {
			rec.WriteHeader(http.StatusOK)
		}
	}
	clean = true
	switch {
	case rec.passed:
		c.router.Ended(a.ID, a.Index, threadglade.Concluded, threadglade.CauseNone)
		return nil
	case rec.status == http.StatusBadGateway:
		c.router.Ended(a.ID, a.Index, threadglade.Unreachable, threadglade.CauseNone)
	case rec.status == http.StatusServiceUnavailable:
		c.router.Ended(a.ID, a.Index, threadglade.Rejected, threadglade.CauseProcessorFull)
	case rec.status == http.StatusGatewayTimeout:
		c.router.Ended(a.ID, a.Index, threadglade.TimedOut, threadglade.CauseNone)
	default:
		c.router.Ended(a.ID, a.Index, threadglade.Faulted, threadglade.CauseNone)
	}
	return rec
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// recorder passes a good response on as it comes and holds a failed one back until its fate is known.
type recorder struct {
	w        http.ResponseWriter
	header   http.Header
	status   int
	passed   bool
	held     bytes.Buffer
	answered func() bool
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status != 0 || status < 200 {
		return
	}
	if r.status = status; status < 500 && r.answered() {
		r.release()
	}
}

func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.passed {
		return r.w.Write(b)
	}
	r.held.Write(b[:min(len(b), holdMost-r.held.Len())])
	return len(b), nil
}

// Flush passes on what a streaming handler has written so far.
func (r *recorder) Flush() {
	if f, ok := r.w.(http.Flusher); ok && r.passed {
		f.Flush()
	}
}

// finish makes a held response final; 504 where the handler made none that counts.
func (r *recorder) finish() {
	if r.status < 500 {
		http.Error(r.w, "no server answered in time", http.StatusGatewayTimeout)
		return
	}
	r.release()
}

// release writes out the response.
func (r *recorder) release() {
	r.passed = true
	for name, values := range r.header {
		r.w.Header()[name] = values
	}
	r.w.WriteHeader(r.status)
	r.w.Write(r.held.Bytes())
}
