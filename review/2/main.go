// Command case runs a case of the review: a planned restart while callers hang up. It must not be run by hand: run.sh
// passes the repository's root and the folder for the record.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/review/stand"
)

const (
	rate    = 50                                   // set-ups, and later releases, a second: what the pages have
	before  = 10 * time.Second                     // for which calls are set up, up to SIGTERM
	held    = 8 * time.Second                      // from the set-up to the caller's release; the site has 7.2 to 11 s on average
	killAt  = 9*time.Second + 700*time.Millisecond // from SIGTERM to SIGKILL: the longest deadline and 0.7 s
	back    = 2 * time.Second                      // from the end of the process to the next start
	due     = 8*time.Second + 50*time.Millisecond
	pending = 2 * time.Second // how long a caller waits for the answer to its release before it says it again
)

func main() {
	rec, err := stand.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	status := run(rec, os.Args[1])
	rec.Close()
	os.Exit(status)
}

func failed(rec *stand.Record, what string, err error) int {
	rec.Printf("the case couldn't run: %s: %v", what, err)
	fmt.Println("the case couldn't run:", what, err)
	return 2
}

// hangUpAll releases the calls in order, each when it has been held long enough. A release for which there is no
// connection waits for the next one; one that is not answered is said again.
func hangUpAll(rec *stand.Record, caller *stand.Caller, ids []string, begin time.Time) {
	for i, id := range ids {
		time.Sleep(time.Until(begin.Add(time.Duration(i)*time.Second/rate + held)))
		for !caller.HangUp(id) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for id, call := range caller.Calls() {
			if call.Status == 200 && call.HeardAt.IsZero() && time.Since(call.HungUpAt) > pending {
				rec.Printf("caller: the release of %s was not answered", id)
				caller.HangUp(id)
			}
		}
	}
}

func run(rec *stand.Record, root string) int {
	trouble := stand.Trouble()
	rec.Printf("trouble: %v", trouble)
	var servers []*stand.Server
	var entries []standin.Entry
	for i := range 2 {
		server, err := stand.NewServer(rec, fmt.Sprintf("s-%08x", i+1), i, 20*time.Millisecond)
		if err != nil {
			return failed(rec, "case server", err)
		}
		defer server.Close()
		servers, entries = append(servers, server), append(entries, server.Entry())
	}
	names, err := standin.NewNameService(1, false)
	if err != nil {
		return failed(rec, "name service", err)
	}
	defer names.Close()
	names.SetServers(1, entries)
	platform, err := stand.NewPlatform(rec, root, stand.LahoreKarachi, names.Addr(), entries)
	if err != nil {
		return failed(rec, "platform", err)
	}
	defer platform.Close()
	router, err := platform.Start("router", true)
	if err != nil || !platform.AwaitTest(30*time.Second) {
		return failed(rec, "the router isn't ready", err)
	}
	caller := stand.NewCaller(rec, "caller", platform.Listen)
	defer caller.Close()
	time.Sleep(1500 * time.Millisecond)

	// Calls at a steady rate up to SIGTERM, none after it. Their caller ends each of them.
	var ids []string
	begin := time.Now()
	for i := range int(before.Seconds() * rate) {
		ids = append(ids, fmt.Sprintf("%016x", 0xb1000000+i))
	}
	done := make(chan bool)
	go func() {
		hangUpAll(rec, caller, ids, begin)
		close(done)
	}()
	for i, id := range ids {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / rate)))
		if !caller.Place(id, "status-check", 3*time.Second, i%2) {
			return failed(rec, "the caller has no connection", nil)
		}
	}
	time.Sleep(100 * time.Millisecond) // all are answered
	var termAt, endedAt time.Time
	if trouble {
		caller.StayAway(true)
		termAt = time.Now()
		platform.Signal(router, syscall.SIGTERM)
		if !router.AwaitEnd(killAt) {
			platform.Signal(router, syscall.SIGKILL)
			router.AwaitEnd(5 * time.Second)
		}
		endedAt = time.Now()
		time.Sleep(back)
		if err := platform.EmptyTemp(); err != nil {
			return failed(rec, "TMPDIR", err)
		}
		if router, err = platform.Start("router-again", true); err != nil || !platform.AwaitTest(10*time.Second) {
			return failed(rec, "the router isn't ready again", err)
		}
		caller.StayAway(false) // it has passed a test
	}
	<-done
	time.Sleep(due)
	if router.Ended() {
		rec.Printf("BROKEN: the router has ended")
		return 1
	}

	stood, left, answered, early := 0, 0, 0, 0
	for id, call := range caller.Calls() {
		if call.Status != 200 {
			continue
		}
		stood++
		for _, server := range servers {
			if !server.Calls()[id].Stands || time.Since(call.HungUpAt) < due {
				continue
			}
			left++
			if call.HungUpAt.Before(endedAt) {
				early++
			}
			heard := "not answered"
			if !call.HeardAt.IsZero() {
				answered++
				heard = fmt.Sprintf("answered with 200 after %.1f ms", float64(call.HeardAt.Sub(call.HungUpAt).Microseconds())/1000)
			}
			rec.Printf("BROKEN: %s: its caller released it %.3f s after SIGTERM, %s; it is left standing at %s %.1f s later", id,
				call.HungUpAt.Sub(termAt).Seconds(), heard, server.ID, time.Since(call.HungUpAt).Seconds())
		}
	}
	text := fmt.Sprintf("%d calls stood, and their callers released them; left standing at a case server: %d, of which a router "+
		"had answered the release: %d; released to the process that ends: %d, to the next one: %d", stood, left, answered, early,
		left-early)
	rec.Printf("result: %s", text)
	fmt.Println(text)
	switch {
	case left > 0:
		return 1
	case stood != len(ids):
		return failed(rec, "not all calls stood", nil)
	}
	return 0
}
