// Package middleware wraps an http.Handler with the router: each HTTP request becomes a request of the router, the
// server that the router chooses is passed in the request's context, and the handler's result is the outcome of the
// attempt. The package owns the requests in progress and one goroutine for the router's timers. It must never choose
// a server, run two attempts of one request concurrently, or start a goroutine per request.
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
	// maxHeldBytes bounds how much of a failed attempt's response body is kept until it is known whether another
	// attempt follows.
	maxHeldBytes = 64 << 10
	// defaultMaxRequests is the default of Config.MaxRequests.
	defaultMaxRequests = 10_000
)

// Config configures a Core. Settings and Describe are required.
type Config struct {
	Settings threadglade.Settings
	Seed     uint64       // of the router's random choices
	Clock    router.Clock // nil: the system clock
	// Describe maps an HTTP request to a request of the router: class, number, destination, retry and the deadline
	// by which the handler must have begun to answer. An earlier deadline of the request's context takes precedence.
	// The ID is set by the middleware. Describe is called concurrently.
	Describe func(r *http.Request, now time.Duration) router.Request
	Log      zerolog.Logger // the zero value logs nothing
	// Observer receives the router's events; nil: none. It is called on various goroutines, but never concurrently.
	Observer router.Observer
	// MaxRequests bounds the requests in progress, 10,000 if 0. Further requests are refused at once.
	MaxRequests int
}

// Core is a router whose attempts are calls of an http.Handler. Its methods may be called concurrently.
type Core struct {
	cfg            Config
	router         *router.Router
	wake           chan struct{}
	done           chan struct{}
	closeOnce      sync.Once
	mu             sync.Mutex
	calls          map[string]*call
	classDeadlines atomic.Pointer[map[string]time.Duration] // by class name
}

// New starts a Core, which Close stops. The error names the invalid setting.
func New(cfg Config) (*Core, error) {
	if cfg.Clock == nil {
		cfg.Clock = router.SystemClock()
	}
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = defaultMaxRequests
	}
	c := &Core{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{}), calls: map[string]*call{}}
	c.classDeadlines.Store(classDeadlines(cfg.Settings))
	var err error
	c.router, err = router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, Clock: cfg.Clock, Trunk: trunk{c},
		Log: cfg.Log, Wake: c.Wake, Observer: cfg.Observer})
	if err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

// Change replaces the settings as a whole for requests that arrive from now on. Requests in progress keep the settings
// they arrived under. If a setting is invalid, the error names it and nothing changes.
func (c *Core) Change(set threadglade.Settings) error {
	err := c.router.Change(set)
	if err == nil {
		c.classDeadlines.Store(classDeadlines(set))
	}
	return err
}

// classDeadlines returns the deadlines by class name.
func classDeadlines(set threadglade.Settings) *map[string]time.Duration {
	m := make(map[string]time.Duration, len(set.Classes))
	for _, class := range set.Classes {
		m[class.Name] = class.Deadline
	}
	return &m
}

// run drives the router's timers until Close.
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

// Wake makes the Core check its timers. It must be called after a manual clock was advanced.
func (c *Core) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close stops the timers. Requests that are still waiting end with their contexts. It may be called more than once.
func (c *Core) Close() { c.closeOnce.Do(func() { close(c.done) }) }

// UpdateServers passes a server list to the router.
func (c *Core) UpdateServers(list threadglade.ServerList) { c.router.UpdateServers(list) }

// ReportAgents passes a report of a server's free agents to the router.
func (c *Core) ReportAgents(a threadglade.Agents) { c.router.ReportAgents(a) }

// Counters returns the router's counters.
func (c *Core) Counters() router.Counters { return c.router.Counters() }

// serverKey is the context key of the chosen server's ID.
type serverKey struct{}

// Server returns the ID of the server that the router chose for this attempt, or false outside of a handler.
func Server(ctx context.Context) (string, bool) {
	id, ok := ctx.Value(serverKey{}).(string)
	return id, ok
}

// call is one HTTP request in progress. It is the router.Front of its request.
type call struct {
	events    chan callEvent // in order; never full: it has room for all attempts and the final answer
	mu        sync.Mutex
	cancel    context.CancelFunc // cancels the attempt in progress
	withdrawn map[int]bool       // by index: attempts that the router has withdrawn
}

// callEvent is an attempt to make, or the final answer: a refusal, or else a failure.
type callEvent struct {
	attempt    *router.Attempt
	refused    bool
	retryAfter time.Duration
	reason     router.Failure
}

// Established implements router.Front. The handler's response is the answer.
func (k *call) Established(string, []byte) {}

// Released implements router.Front.
func (k *call) Released(string, threadglade.Outcome) {}

// Refused implements router.Front.
func (k *call) Refused(_ string, retryAfter time.Duration) {
	k.events <- callEvent{refused: true, retryAfter: retryAfter}
}

// Failed implements router.Front.
func (k *call) Failed(_ string, reason router.Failure) { k.events <- callEvent{reason: reason} }

// trunk is the router.Trunk that passes attempts to the goroutines of their requests.
type trunk struct{ core *Core }

// call returns the request in progress with the given ID, or nil.
func (t trunk) call(id string) *call {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	return t.core.calls[id]
}

// Send implements router.Trunk.
func (t trunk) Send(a router.Attempt) {
	if k := t.call(a.ID); k != nil {
		k.events <- callEvent{attempt: &a}
	}
}

// GiveUp implements router.Trunk: it cancels the handler's context.
func (t trunk) GiveUp(a router.Attempt) {
	if k := t.call(a.ID); k != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.withdrawn[a.Index] = true
		if k.cancel != nil {
			k.cancel()
		}
	}
}

// Release implements router.Trunk.
func (t trunk) Release(a router.Attempt, _ threadglade.Outcome) { t.GiveUp(a) }

// Handler wraps a handler, which is called once for each attempt. A response with a status below 500 is final; 502
// means that the server is unreachable, 503 that it is overloaded, 504 that it timed out, and any other status a
// fault. A request with a body gets only one attempt.
func (c *Core) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := c.cfg.Clock()
		req := c.cfg.Describe(r, now)
		req.ID = newID()
		classDeadline, known := (*c.classDeadlines.Load())[req.Class]
		if !known {
			http.Error(w, "no such class", http.StatusBadRequest)
			return
		}
		req.Deadline = min(req.Deadline, now+classDeadline) // no caller waits longer than the class's deadline
		if until, ok := r.Context().Deadline(); ok {
			req.Deadline = min(req.Deadline, now+time.Until(until))
		}
		k := &call{events: make(chan callEvent, 4+c.cfg.Settings.Limits.MaxAttempts), withdrawn: map[int]bool{}}
		c.mu.Lock()
		full := len(c.calls) >= c.cfg.MaxRequests
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
			c.router.Cancel(k, req.ID) // has no effect after the final answer
			c.mu.Lock()
			delete(c.calls, req.ID)
			c.mu.Unlock()
		}()
		c.router.Arrive(k, req)
		var failed *recorder
		for {
			select {
			case <-r.Context().Done():
				return
			case event := <-k.events:
				switch {
				case event.attempt != nil:
					if failed != nil && r.ContentLength != 0 {
						failed.finalize() // its body has been read: the first attempt's response is final
						return
					}
					failed = c.attempt(k, event.attempt, w, r, next)
					if failed == nil {
						return
					}
				case event.refused:
					w.Header().Set("Retry-After", strconv.Itoa(max(1, int((event.retryAfter+time.Second-1)/time.Second))))
					http.Error(w, "refused", http.StatusServiceUnavailable)
					return
				case failed != nil && failed.status >= 500:
					failed.finalize()
					return
				case event.reason == router.DeadlineExceeded:
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

// attempt calls the handler once. It returns the failed attempt's response, or nil if the response was final.
func (c *Core) attempt(k *call, a *router.Attempt, w http.ResponseWriter, r *http.Request,
	next http.Handler) *recorder {
	ctx, cancel := context.WithCancel(context.WithValue(r.Context(), serverKey{}, a.Server))
	defer cancel()
	k.mu.Lock()
	k.cancel = cancel
	if k.withdrawn[a.Index] {
		cancel()
	}
	k.mu.Unlock()
	rec := &recorder{writer: w, header: http.Header{}, reportAnswer: func() bool {
		if ctx.Err() != nil { // withdrawn: the response is discarded
			return false
		}
		c.router.Answered(a.ID, a.Index, nil)
		return true
	}}
	returned := false
	defer func() {
		if !returned { // a panic propagates to the HTTP server; the attempt counts as faulted
			c.router.Ended(a.ID, a.Index, threadglade.Faulted, threadglade.CauseNone)
		}
	}()
	if ctx.Err() == nil {
		next.ServeHTTP(rec, r.WithContext(ctx))
		if rec.status == 0 && ctx.Err() == nil {
			rec.WriteHeader(http.StatusOK)
		}
	}
	returned = true
	switch {
	case rec.committed:
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

// newID returns a random request ID.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// recorder is the http.ResponseWriter of one attempt. It passes a successful response on as it is written and buffers
// a failed one until it is known whether another attempt follows.
type recorder struct {
	writer       http.ResponseWriter
	header       http.Header
	status       int          // 0: not written yet
	committed    bool         // the response goes to writer
	body         bytes.Buffer // of a response that is not committed
	reportAnswer func() bool  // notifies the router; false if the attempt was withdrawn
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. A status below 500 commits the response.
func (r *recorder) WriteHeader(status int) {
	if r.status != 0 || status < 200 {
		return
	}
	if r.status = status; status < 500 && r.reportAnswer() {
		r.commit()
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.committed {
		return r.writer.Write(b)
	}
	r.body.Write(b[:min(len(b), maxHeldBytes-r.body.Len())])
	return len(b), nil
}

// Flush implements http.Flusher for streaming handlers.
func (r *recorder) Flush() {
	if f, ok := r.writer.(http.Flusher); ok && r.committed {
		f.Flush()
	}
}

// finalize sends a buffered response as the final one, or 504 if the handler wrote no failure.
func (r *recorder) finalize() {
	if r.status < 500 {
		http.Error(r.writer, "no server answered in time", http.StatusGatewayTimeout)
		return
	}
	r.commit()
}

// commit sends the status, the header and the buffered body.
func (r *recorder) commit() {
	r.committed = true
	for name, values := range r.header {
		r.writer.Header()[name] = values
	}
	r.writer.WriteHeader(r.status)
	r.writer.Write(r.body.Bytes())
}
