package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// partitionFor is how long the fleet pages say that a zone is partitioned.
const partitionFor = 6 * time.Second

func init() { cases["9"] = billedTwice }

// billedTwice: merged totals match the calls that the case servers counted, and no call is billed twice.
func billedTwice(b *bench) error {
	s := site{classes: []class{{"status-check", "free", 1200, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 5000}
	// What happens lies within one period.
	if into := time.Now().Second(); into > 12 && into < 58 {
		time.Sleep(time.Duration(60-into) * time.Second)
	}
	f, err := newFleet(b, s, true, func(string, standin.Message) behaviour {
		return behaviour{delay: 50 * time.Millisecond, hold: 4 * time.Second}
	})
	if err != nil {
		return err
	}
	start := time.Now()
	cut, healed := false, false
	for i := 0; time.Since(start) < 8*time.Second; i++ {
		if b.trouble && !cut && time.Since(start) > 6*time.Second {
			cut = true
			f.cutOff(true)
		}
		if _, err := f.callers.invite("status-check", newID()[:10], i%2, 3*time.Second); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / setupsPerSecond)))
	}
	time.Sleep(time.Until(start.Add(6*time.Second + partitionFor)))
	if cut && !healed {
		f.cutOff(false)
	}
	time.Sleep(15 * time.Second)
	for next := time.Now().Truncate(time.Minute).Add(time.Minute + 3*time.Second); time.Now().Before(next); {
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range f.routers {
		b.signal(p, syscall.SIGTERM)
	}
	for _, p := range f.routers {
		select {
		case <-p.exited:
		case <-time.After(12 * time.Second):
		}
	}
	var outs []string
	for i := range 3 {
		out := filepath.Join(b.tmp, fmt.Sprintf("export%d", i))
		outs = append(outs, out)
		if _, err := f.run("ledger export " + f.ledger(i) + " --to " + out); err != nil {
			return fmt.Errorf("%w: export: %w", errNotRun, err)
		}
		f.run("ledger show " + f.ledger(i))
		os.MkdirAll(out, 0o755)
	}
	text, _ := f.run("ledger merge --json " + strings.Join(outs, " "))
	var merged struct {
		Findings []struct{ Kind, Text string }
		Total    map[string]int64
	}
	if err := json.Unmarshal(text, &merged); err != nil {
		return fmt.Errorf("%w: merge: %w", errNotRun, err)
	}
	stood, byCallers := int64(0), int64(0)
	for _, id := range f.callers.ids() {
		byCallers++
		for _, server := range f.servers {
			if seen, ok := server.call(id); ok && !seen.answeredAt.IsZero() {
				stood++
			}
		}
	}
	billed := merged.Total["stood_in_time"] + merged.Total["stood_late"]
	b.note("callers sent %d set-ups; %d calls stood at the case servers; the merged totals have %d offered, %d that stood",
		byCallers, stood, merged.Total["offered"], billed)
	for _, finding := range merged.Findings {
		b.note("merge: %s: %s", finding.Kind, finding.Text)
	}
	if merged.Total["offered"] != byCallers {
		b.breaks("callers sent %d set-ups, and the merged totals bill %d", byCallers, merged.Total["offered"])
	}
	if billed+merged.Total["unknown"] < stood || billed > stood {
		b.breaks("%d calls stood at the case servers, and the merged totals bill %d", stood, billed)
	}
	return nil
}
