package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

func init() { cases["10"] = answerLostInUpgrade }

// mgmt sends a request to a process's address for operators and returns the status; 0: none.
func mgmt(method, addr, path string) int {
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// deskBench is a router with call control, two case servers and a desk.
type deskBench struct {
	desk             *desk
	servers          []*caseServer
	config, settings string
	tmp              string
}

// newDeskBench prepares a router, which the case starts.
func newDeskBench(b *bench, plan func(string, standin.Message) behaviour) (*deskBench, error) {
	s := site{classes: []class{{"fee-record", "free", 2000, 9000}}, maxAttempts: 6, drainGrace: 1000, releaseWait: 200,
		holding: 5000}
	d := &deskBench{}
	for i := range 2 {
		server, err := newCaseServer(b, i, plan)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, server)
	}
	names, err := newNames(d.servers)
	if err != nil {
		return nil, err
	}
	var settings string
	if d.desk, settings, err = newDesk(b, standin.FreeAddr()); err != nil {
		return nil, err
	}
	d.config = b.write("n0.json", s.config("n0", standin.FreeAddr(), names.Addr(), 7, d.servers))
	d.settings = b.write("n0.edn", []byte(settings))
	d.tmp = filepath.Join(b.tmp, "shared")
	return d, os.MkdirAll(d.tmp, 0o755)
}

// start starts a process of the router and waits until it is ready.
func (d *deskBench) start(b *bench, name string) (p *process, addr string, err error) {
	addr = standin.FreeAddr()
	if p, err = b.serve(name, d.config, d.settings, "NODE_MGMT="+addr, "TMPDIR="+d.tmp); err != nil {
		return nil, "", err
	}
	return p, addr, b.await(6*time.Second, name+" is ready", func() bool { return mgmt("GET", addr, "/-/ready") == 200 })
}

// answerLostInUpgrade: a call of call control gets one final answer although its WebSocket closes while a new version
// takes the router over.
func answerLostInUpgrade(b *bench) error {
	d, err := newDeskBench(b, func(string, standin.Message) behaviour {
		return behaviour{delay: 1200 * time.Millisecond, hold: 20 * time.Second}
	})
	if err != nil {
		return err
	}
	old, _, err := d.start(b, "old")
	if err != nil {
		return err
	}
	if err := b.await(5*time.Second, "the desk is let in", func() bool { return d.desk.connect() == nil }); err != nil {
		return err
	}
	if b.trouble {
		if _, _, err = d.start(b, "new"); err != nil {
			return err
		}
	}
	for i := range 5 {
		d.desk.place(fmt.Sprintf("place %d", i), "fee-record", i%2, 5*time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	d.desk.drop()
	time.Sleep(100 * time.Millisecond)
	if b.trouble {
		b.signal(old, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	if err := b.await(3*time.Second, "the desk is let in again", func() bool { return d.desk.connect() == nil }); err != nil {
		return err
	}
	// The desk asks for its calls until it has their answers, for longer than their time and the grace.
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && len(d.desk.unanswered()) > 0; {
		for _, id := range d.desk.unanswered() {
			d.desk.attach(id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	d.desk.mu.Lock()
	defer d.desk.mu.Unlock()
	if len(d.desk.order) == 0 {
		return errNotRun
	}
	for _, id := range d.desk.order {
		if call := d.desk.calls[id]; len(call.answers) != 1 {
			stands := "it does not stand at a case server"
			for _, server := range d.servers {
				if seen, ok := server.call(id); ok && !seen.answeredAt.IsZero() {
					stands = "it stands at " + server.id
				}
			}
			b.breaks("call %s was confirmed to the desk and has %d final answers; %d times the desk was told that there "+
				"is no such call; %s", id, len(call.answers), call.unknown, stands)
		}
	}
	return nil
}
