// Command case runs a case of the review: a router of a fleet is killed, and the router that takes its calls over has no
// callers of its own. It must not be run by hand: run.sh passes the repository's root and the folder for the record.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/review/stand"
)

const (
	rate   = 20                                  // calls a second at the router that is killed
	held   = 8 * time.Second                     // from the answer to the end by the case server; the site has 7.7 to 11 s on average
	back   = 4 * time.Second                     // how long the router is away; the pages have 1.1 to 6.4 s
	before = 9 * time.Second                     // until the router is killed
	after  = 10 * time.Second                    // for which calls go on once it is back
	due    = 8*time.Second + 50*time.Millisecond // after its end a caller has to know of it in any case
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

// names returns the router to be killed, the one that is to take over from it, and the third. As docs/operators/takeover.md
// says, the program alone decides that, by the names.
func names() (killed, successor, third string) {
	all := []string{"n0", "n1", "n2"}
	var members []*fleetpb.Member
	for _, name := range all {
		members = append(members, &fleetpb.Member{Name: name, Live: true, Address: "127.0.0.1:1"})
	}
	killed = all[0]
	successor = fleet.Successors(killed, "", members, 1)[0].Name
	for _, name := range all[1:] {
		if name != successor {
			third = name
		}
	}
	return killed, successor, third
}

func run(rec *stand.Record, root string) int {
	trouble := stand.Trouble()
	rec.Printf("trouble: %v", trouble)
	var servers []*stand.Server
	for i := range 2 {
		server, err := stand.NewServer(rec, fmt.Sprintf("s-%08x", i+1), i, 20*time.Millisecond)
		if err != nil {
			return failed(rec, "case server", err)
		}
		defer server.Close()
		server.Hold = held
		servers = append(servers, server)
	}

	// Three routers, and three keepers, with the settings that docs/operators/takeover.md asks for.
	killed, successor, third := names()
	rec.Printf("%s is to be killed, %s to take over, %s is the third", killed, successor, third)
	platforms := map[string]*stand.Platform{}
	for _, name := range []string{killed, successor, third} {
		// Each router reaches the other parties at addresses of its own.
		var entries []standin.Entry
		for _, server := range servers {
			entry, err := server.ListenFor(name)
			if err != nil {
				return failed(rec, "case server", err)
			}
			entries = append(entries, entry)
		}
		service, err := standin.NewNameService(1, false)
		if err != nil {
			return failed(rec, "name service", err)
		}
		defer service.Close()
		service.SetServers(1, entries)
		site := stand.Texas
		site.Router = name
		platform, err := stand.NewPlatform(rec, root, site, service.Addr(), entries)
		if err != nil {
			return failed(rec, "platform", err)
		}
		defer platform.Close()
		platforms[name] = platform
	}
	keepers, addresses := "", []string{}
	for i := range 3 {
		addresses = append(addresses, stand.FreePort())
		keepers += fmt.Sprintf("    (keeper \"k%d\" (address %q))\n", i+1, addresses[i])
	}
	section := func(fields, rest string) string {
		return fmt.Sprintf("(threadglade\n  (fleet (name \"review\") (lease 3s) (renew 1s) (members \"n*\") %s\n%s)\n%s)\n", fields,
			keepers, rest)
	}
	base := platforms[killed]
	found, err := base.Write("found.edn", section("", ""))
	if err != nil {
		return failed(rec, "settings", err)
	}
	folders := filepath.Join(base.Dir(), "fleet")
	once, err := base.StartCommand("found", fmt.Sprintf("exec bin/threadglade fleet found --settings %s -o %s", found, folders), false)
	if err != nil || !once.AwaitEnd(10*time.Second) {
		return failed(rec, "fleet found", err)
	}
	for i := range 3 {
		name := fmt.Sprintf("k%d", i+1)
		settings, err := base.Write(name+".edn", section(fmt.Sprintf("(directory %q)", filepath.Join(folders, name)), ""))
		if err != nil {
			return failed(rec, "settings", err)
		}
		keeper, err := base.StartCommand(name, fmt.Sprintf("exec bin/threadglade fleet keeper --settings %s --name %s", settings, name), false)
		if err != nil || keeper.AwaitEnd(300*time.Millisecond) {
			return failed(rec, "keeper "+name, err)
		}
	}
	routers := map[string]*stand.Router{}
	for name, platform := range platforms {
		settings, err := platform.Write("threadglade.edn", section(fmt.Sprintf("(listen %q)", stand.FreePort()), "  (takeover)\n"))
		if err != nil {
			return failed(rec, "settings", err)
		}
		platform.Flags = " --settings " + settings
		router, err := platform.Start(name, false)
		if err != nil || !platform.AwaitTest(30*time.Second) {
			return failed(rec, "router "+name+" isn't ready", err)
		}
		routers[name] = router
	}
	time.Sleep(6 * time.Second) // leases are given, and records have their holders

	// Callers keep to their own router, as the site's `entry = "own"` has it.
	caller := stand.NewCaller(rec, "caller of "+killed, platforms[killed].Listen)
	defer caller.Close()
	other := stand.NewCaller(rec, "caller of "+third, platforms[third].Listen)
	defer other.Close()
	time.Sleep(500 * time.Millisecond)
	stop, done := make(chan bool), make(chan bool)
	go func() { // for as long as its connection is open; a caller connects again at once
		defer close(done)
		tick := time.NewTicker(time.Second / rate)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			caller.Place(fmt.Sprintf("%016x", 0xa1000000+i), "seat-lookup", 3*time.Second, i%2)
			if i%4 == 0 {
				other.Place(fmt.Sprintf("%016x", 0xa2000000+i), "seat-lookup", 3*time.Second, i%2)
			}
		}
	}()
	time.Sleep(before)
	if trouble {
		platforms[killed].Signal(routers[killed], syscall.SIGKILL)
		if !routers[killed].AwaitEnd(5 * time.Second) {
			return failed(rec, "the router doesn't end at SIGKILL", nil)
		}
		time.Sleep(back)
		if routers[killed], err = platforms[killed].Start(killed+"-again", false); err != nil ||
			!platforms[killed].AwaitTest(10*time.Second) {
			return failed(rec, "the router isn't ready again", err)
		}
	}
	time.Sleep(after)
	close(stop)
	<-done
	time.Sleep(held + due + time.Second)
	for name, router := range routers {
		if router.Ended() {
			rec.Printf("BROKEN: router %s has ended", name)
			return 1
		}
	}

	stood, never, late := 0, 0, 0
	for _, one := range []*stand.Caller{caller, other} {
		for id, call := range one.Calls() {
			if call.Status != 200 {
				continue
			}
			stood++
			over := time.Time{}
			for _, server := range servers {
				if at := server.Calls()[id]; !at.EndedAt.IsZero() {
					over = at.EndedAt
				}
			}
			switch {
			case over.IsZero():
				return failed(rec, "call "+id+" has not ended", nil)
			case call.ReleasedAt.IsZero():
				never++
				rec.Printf("BROKEN: %s of the %s: over for %.1f s, and its caller was never told", id, one.Name, time.Since(over).Seconds())
			case call.ReleasedAt.Sub(over) > due:
				late++
				rec.Printf("BROKEN: %s of the %s: its caller was told %.3f s after its end", id, one.Name, call.ReleasedAt.Sub(over).Seconds())
			}
		}
	}
	text := fmt.Sprintf("%d calls stood and ended; never told to their callers: %d; told later than 8.05 s: %d", stood, never, late)
	rec.Printf("result: %s", text)
	fmt.Println(strings.TrimSpace(text))
	if never+late > 0 {
		return 1
	}
	return 0
}
