package middleware

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// start serves a handler, wrapped by a core with two servers and mounted in chi. The clock only advances by tick.
func start(t *testing.T, handler http.HandlerFunc) (url string, tick func(time.Duration), core *Core) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	core, err := New(Config{
		Settings: threadglade.Settings{Proxies: 1,
			Limits: threadglade.Limits{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: time.Second},
			Rules:  threadglade.Rules{ReleaseWait: 200 * time.Millisecond, DrainGrace: time.Second},
			Classes: []threadglade.Class{{Name: "page", Aim: time.Second, Deadline: 5 * time.Second,
				HoldingTime: time.Second, Worth: 1, Servers: []int{0, 1}}}},
		Clock: func() time.Duration { return time.Duration(clock.Load()) },
		Describe: func(r *http.Request, now time.Duration) router.Request {
			return router.Request{Class: "page", Number: r.URL.Path, Deadline: now + 2*time.Second}
		}})
	require.NoError(t, err)
	t.Cleanup(core.Close)
	core.UpdateServers(threadglade.ServerList{Servers: []threadglade.Server{{ID: "s0", Number: 0}, {ID: "s1", Number: 1}}})
	mux := chi.NewRouter()
	mux.Use(core.Handler)
	mux.HandleFunc("/*", handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL, func(d time.Duration) {
		clock.Add(int64(d))
		core.Wake()
	}, core
}

// fetch sends a request and returns the response's status, body and header.
func fetch(t *testing.T, method, url, body string) (int, string, http.Header) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(text), res.Header
}

// The chosen server is in the request's context, and the response reaches the client as the handler wrote it.
func TestChosenServer(t *testing.T) {
	url, _, core := start(t, func(w http.ResponseWriter, r *http.Request) {
		id, ok := Server(r.Context())
		require.True(t, ok)
		w.Header().Set("X-From", id)
		w.WriteHeader(http.StatusNotFound)
		io.WriteString(w, "no page")
	})
	status, text, header := fetch(t, "GET", url+"/a", "")
	require.Equal(t, []any{404, "no page", "s0"}, []any{status, text, header.Get("X-From")})
	require.EqualValues(t, 1, core.Counters().Ends[threadglade.Concluded])
}

// A faulted attempt is retried at the other server, and nothing of its response reaches the client. A request with a
// body can't be sent twice: its first failure is final.
func TestFaultMovesOn(t *testing.T) {
	url, _, core := start(t, func(w http.ResponseWriter, r *http.Request) {
		id, _ := Server(r.Context())
		w.Header().Set("X-"+id, "1")
		if id == "s0" {
			http.Error(w, "broken", http.StatusInternalServerError)
			return
		}
		io.WriteString(w, id)
	})
	status, text, header := fetch(t, "GET", url+"/a", "")
	require.Equal(t, []any{200, "s1", ""}, []any{status, text, header.Get("X-s0")})
	require.EqualValues(t, 2, core.Counters().Attempts)
	url, _, core = start(t, func(w http.ResponseWriter, r *http.Request) {
		http.Error(w, "broken", http.StatusBadGateway)
	})
	status, text, _ = fetch(t, "POST", url+"/a", "body")
	require.Equal(t, []any{502, "broken\n"}, []any{status, text})
	require.Eventually(t, func() bool { return core.Counters().Left == 1 }, 5*time.Second, time.Millisecond)
}

// An overloaded server leads to a refusal: 503 with Retry-After, instead of the handler's response.
func TestRefused(t *testing.T) {
	url, _, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
		http.Error(w, "full", http.StatusServiceUnavailable)
	})
	status, text, header := fetch(t, "GET", url+"/a", "")
	require.Equal(t, []any{503, "refused\n", "1"}, []any{status, text, header.Get("Retry-After")})
}

// At the attempt's deadline the handler's context is cancelled and the client gets a 504. A client that disconnects
// cancels the context, too.
func TestContext(t *testing.T) {
	running, left := make(chan bool, 9), make(chan bool, 9)
	url, tick, core := start(t, func(w http.ResponseWriter, r *http.Request) {
		running <- true
		<-r.Context().Done()
		io.WriteString(w, "late")
		left <- true
	})
	go func() {
		<-running
		tick(2 * time.Second)
	}()
	status, text, _ := fetch(t, "GET", url+"/a", "")
	require.Equal(t, 504, status)
	require.NotContains(t, text, "late")
	<-left
	require.EqualValues(t, 1, core.Counters().Ends[threadglade.TimedOut])

	tick(10 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", url+"/b", nil)
	require.NoError(t, err)
	go func() {
		<-running
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	<-left
	require.Eventually(t, func() bool { return core.Counters().Left+core.Counters().Failed == 2 },
		5*time.Second, time.Millisecond)
}

// Requests beyond MaxRequests in progress are refused at once, a request of an unknown class is rejected, and no
// request waits longer than its class's deadline.
func TestBounds(t *testing.T) {
	entered, leave := make(chan bool), make(chan bool)
	_, _, core := start(t, func(http.ResponseWriter, *http.Request) {})
	core.cfg.MaxRequests = 1
	class, wait := "page", time.Hour
	core.cfg.Describe = func(_ *http.Request, now time.Duration) router.Request {
		return router.Request{Class: class, Deadline: now + wait}
	}
	handler := core.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- true
		<-leave
	}))
	request := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		return w
	}
	done := make(chan int)
	go func() { done <- request().Code }()
	<-entered
	next, _ := core.router.Next()
	require.Less(t, next, core.cfg.Clock()+6*time.Second)
	w := request()
	require.Equal(t, 503, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	leave <- true
	require.Equal(t, 200, <-done)
	class = "fax"
	require.Equal(t, 400, request().Code)
	require.Empty(t, core.calls)
}
