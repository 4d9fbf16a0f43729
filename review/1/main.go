// Command case runs a case of the review: the path to a case server is cut off for a moment, and a new connection that the
// router tries meanwhile doesn't come up. It must not be run by hand: run.sh passes the repository's root and the folder
// for the record.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/review/stand"
)

const (
	rate   = 20                      // calls a second
	held   = 9 * time.Second         // from the answer to the end by the case server; the site has 7.2 to 11 s on average
	cutOff = 1600 * time.Millisecond // the pages have 6 s
	after  = 15 * time.Second        // for which calls go on after the cut
	due    = 8*time.Second + 50*time.Millisecond
	told   = time.Second + 50*time.Millisecond
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

func run(rec *stand.Record, root string) int {
	trouble := stand.Trouble()
	rec.Printf("trouble: %v", trouble)
	var servers []*stand.Server
	var relays []*stand.Relay
	var entries []standin.Entry
	for i := range 2 {
		server, err := stand.NewServer(rec, fmt.Sprintf("s-%08x", i+1), i, 20*time.Millisecond)
		if err != nil {
			return failed(rec, "case server", err)
		}
		defer server.Close()
		entry := server.Entry()
		relay, err := stand.NewRelay(rec, entry.Addr.String())
		if err != nil {
			return failed(rec, "relay", err)
		}
		defer relay.Close()
		entry.Addr = netip.MustParseAddrPort(relay.Addr())
		servers, relays, entries = append(servers, server), append(relays, relay), append(entries, entry)
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
	router, err := platform.Start("router", false)
	if err != nil || !platform.AwaitTest(30*time.Second) {
		return failed(rec, "the router isn't ready", err)
	}
	caller := stand.NewCaller(rec, "caller", platform.Listen)
	defer caller.Close()
	time.Sleep(1500 * time.Millisecond)

	// Calls at a steady rate. Each stands until its case server ends it.
	count, stopped := 0, make(chan bool)
	call := func(d time.Duration) {
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(time.Second / rate) {
			id := fmt.Sprintf("%016x", 0xe1000000+count)
			caller.Place(id, "status-check", 3*time.Second, count%2)
			count++
			time.AfterFunc(held, func() {
				for _, server := range servers {
					server.EndCall(id)
				}
			})
		}
	}
	go func() {
		call(12*time.Second + after)
		stopped <- true
	}()
	time.Sleep(12 * time.Second)
	if trouble {
		if err := relays[0].Cut(); err != nil {
			return failed(rec, "cut", err)
		}
		time.AfterFunc(cutOff, relays[0].Heal)
	}
	<-stopped
	time.Sleep(held + due)
	if router.Ended() {
		rec.Printf("BROKEN: the router has ended")
		return 1
	}

	// A call is over when its case server has ended it, or when the router has released it there. Nobody else ends calls
	// here. A caller may be told up to 1.05 s before the case server hears of it.
	stood, wrong, untold := 0, 0, 0
	for id, c := range caller.Calls() {
		if c.Status != 200 {
			continue
		}
		stood++
		over := time.Time{}
		for _, server := range servers {
			at := server.Calls()[id]
			for _, t := range []time.Time{at.EndedAt, at.ReleasedAt} {
				if !t.IsZero() && (over.IsZero() || t.Before(over)) {
					over = t
				}
			}
		}
		switch {
		case c.Releases == 0 && !over.IsZero():
			untold++
			rec.Printf("BROKEN: %s is over for %.1f s, and its caller was not told", id, time.Since(over).Seconds())
		case c.Releases > 0 && (over.IsZero() || over.Sub(c.ReleasedAt) > told):
			wrong++
			rec.Printf("BROKEN: %s: its caller was told that it is over %.3f s after its answer. It was left standing at its "+
				"case server, which ended it %.3f s later", id, c.ReleasedAt.Sub(c.AnsweredAt).Seconds(),
				over.Sub(c.ReleasedAt).Seconds())
		}
	}
	lost := 0
	for _, c := range caller.Calls() {
		if c.Answers != 1 {
			lost++
		}
	}
	text := fmt.Sprintf("%d calls, %d stood; callers told that the call is over, and it was left standing at its case server: %d; over "+
		"and never told: %d; calls without just one answer: %d", count, stood, wrong, untold, lost)
	rec.Printf("result: %s", text)
	fmt.Println(text)
	if wrong+untold+lost > 0 {
		return 1
	}
	return 0
}
