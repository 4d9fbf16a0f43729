// Command case runs a case of the review: a desk goes on using its open WebSocket while a new version takes the router's
// place. It must not be run by hand: run.sh passes the repository's root and the folder for the record.
package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/review/stand"
)

const (
	rate    = 20                          // calls a second
	wait    = 9 * time.Second             // how long a caller waits for the answer: the class's deadline
	answer  = 900 * time.Millisecond      // of the case servers; the class's aim is 2 s
	held    = 8 * time.Second             // from the answer to the end by the case server
	killAt  = wait + 700*time.Millisecond // after SIGTERM: the longest deadline and 0.7 s
	excused = 700 * time.Millisecond      // set-ups that came so soon after SIGTERM and are open at SIGKILL
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
	var entries []standin.Entry
	for i := range 2 {
		server, err := stand.NewServer(rec, fmt.Sprintf("s-%08x", i+1), i, answer)
		if err != nil {
			return failed(rec, "case server", err)
		}
		defer server.Close()
		server.Hold = held
		servers, entries = append(servers, server), append(entries, server.Entry())
	}
	names, err := standin.NewNameService(1, false)
	if err != nil {
		return failed(rec, "name service", err)
	}
	defer names.Close()
	names.SetServers(1, entries)
	authority, err := stand.NewAuthority()
	if err != nil {
		return failed(rec, "authority", err)
	}
	defer authority.Close()
	platform, err := stand.NewPlatform(rec, root, stand.LahoreKarachi, names.Addr(), entries)
	if err != nil {
		return failed(rec, "platform", err)
	}
	defer platform.Close()
	address := stand.FreePort()
	settings, err := platform.Write("threadglade.edn", authority.CallControlSettings(address))
	if err != nil {
		return failed(rec, "settings", err)
	}
	platform.Flags = " --settings " + settings
	first, err := platform.Start("version1", true)
	if err != nil || !platform.AwaitTest(30*time.Second) {
		return failed(rec, "the router isn't ready", err)
	}
	token, err := authority.Token("desk1")
	if err != nil {
		return failed(rec, "token", err)
	}
	time.Sleep(1500 * time.Millisecond)
	desk := stand.NewDesk(rec, token)
	defer desk.Close()
	if err := desk.Connect(address); err != nil {
		return failed(rec, "WebSocket", err)
	}

	// Calls at a steady rate on one WebSocket, for as long as it is open, and on the next one if it has ended.
	const length = 18 * time.Second
	begin, done := time.Now(), make(chan error, 1)
	go func() {
		for i := 0; time.Since(begin) < length; i++ {
			if !desk.Connected() {
				for tries := 0; ; tries++ {
					err := desk.Connect(address)
					if err == nil {
						rec.Printf("desk: asks for %d calls without an answer", desk.Attach())
						break
					}
					if tries == 50 {
						done <- err
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			desk.Place("fee-record", fmt.Sprintf("n%d", i), wait)
			time.Sleep(time.Second / rate)
		}
		done <- nil
	}()
	time.Sleep(3 * time.Second)
	var second *stand.Router
	var termAt time.Time
	if trouble {
		if second, err = platform.Start("version2", true); err != nil || !platform.AwaitReady(second, 6*time.Second) {
			return failed(rec, "version 2 doesn't say yes within 6 s", err)
		}
		termAt = time.Now()
		platform.Signal(first, syscall.SIGTERM)
		if !first.AwaitEnd(killAt) {
			platform.Signal(first, syscall.SIGKILL)
			first.AwaitEnd(5 * time.Second)
		}
	}
	if err := <-done; err != nil {
		return failed(rec, "the desk can't connect again", err)
	}
	time.Sleep(wait + time.Second)
	if second != nil && second.Ended() || second == nil && first.Ended() {
		rec.Printf("BROKEN: the router has ended")
		return 1
	}

	lost, known, later, ran := 0, 0, 0, 0
	for id, call := range desk.Calls() {
		if call.Call == "" {
			continue // the desk was never told that the router had taken it
		}
		known++
		if trouble && call.SentAt.Sub(termAt) > excused {
			later++
		}
		if call.Answers > 0 && !strings.Contains(call.Answer, "-32004") || trouble && call.SentAt.Sub(termAt) <= excused {
			continue
		}
		lost++
		where := "no case server got it"
		for _, server := range servers {
			if _, here := server.Calls()[call.Call]; here {
				where = server.ID + " got it"
				ran++
			}
		}
		rec.Printf("BROKEN: %s, call %s: taken %.3f s after SIGTERM and never answered; to call.attach came %q; %s", id,
			call.Call, call.PlacedAt.Sub(termAt).Seconds(), call.Answer, where)
	}
	text := fmt.Sprintf("%d calls taken, %d of them more than 0.7 s after SIGTERM; never answered: %d, of which a case server "+
		"got %d", known, later, lost, ran)
	rec.Printf("result: %s", text)
	fmt.Println(text)
	if lost > 0 {
		return 1
	}
	return 0
}
