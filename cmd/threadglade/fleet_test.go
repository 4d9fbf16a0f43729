package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/standin"
)

// TestFleetCommands runs the fleet commands, as an operator would, on a fleet of one router that is its own keeper.
func TestFleetCommands(t *testing.T) {
	s := newTestbed(t, 1, standin.ServerConfig{Seed: 1})
	beaconListener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer beaconListener.Close()
	dir := filepath.Join(s.dir, "keeper")
	text := fmt.Sprintf(`(threadglade (fleet (name "f") (directory %q) (lease 1s) (renew 300ms) (beacon %q) (beacon-every 20ms) (keeper "n0" (address %q)) (members "n*"))
  (limits (limit "all" (rate 100))))`, filepath.Join(dir, "n0"), beaconListener.LocalAddr(), freeAddress(t))
	path := s.writeFile("fleet.edn", text)

	c := startChild(t, s.writeConfig("n0", freeAddress(t)), "serve", "--settings", path)
	<-c.exited
	require.NotZero(t, c.cmd.ProcessState.ExitCode())
	require.Contains(t, c.log(), "no files of a keeper")

	out, code := runTool(t, "fleet", "found", "--settings", path, "-o", dir)
	require.Zero(t, code, out)
	out, code = runTool(t, "fleet", "found", "--settings", path, "-o", dir)
	require.Equal(t, exitFinding, code, out)
	c = startChild(t, s.writeConfig("n0", freeAddress(t)), "serve", "--settings", path)
	c.waitReady(t)
	b := make([]byte, 200)
	require.NoError(t, beaconListener.SetReadDeadline(time.Now().Add(10*time.Second)))
	for {
		n, err := beaconListener.Read(b)
		require.NoError(t, err, c.log())
		if strings.HasPrefix(string(b[:n]), "act n0 1 ") {
			break
		}
	}
	for _, step := range []struct {
		args string
		code int
		want string
	}{
		{"status", 0, "n0"}, {"members", 0, "live"}, {"members --json", 0, `"state":"live"`}, {"limits", 0, "rate"},
		{`limits set lda (rate#50)#(tenant#"lda") --why agreed`, 0, "version"}, {"limits", 0, "agreed"},
		{"limits set lda (rate#x) --why no", exitUsage, "is no number"},
		{"limits set lda (colour#x) --why no", exitUsage, "colour"}, {"limits set lda (rate#5)", exitUsage, "why"},
		{"limits explain lda", 0, "would admit a call"}, {"limits explain nobody", 0, "all"},
		{"limits unset all --why over", 0, "version"}, {"limits --json", 0, `"limit":"lda"`},
	} {
		args := append([]string{"fleet"}, strings.Fields(step.args)...)
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "#", " ")
		}
		out, code := runTool(t, append(args, "--settings", path)...)
		require.Equal(t, step.code, code, "%s: %s", step.args, out)
		require.Contains(t, out, step.want, step.args)
	}
	out, _ = runTool(t, "fleet", "limits", "--settings", path)
	require.NotContains(t, out, "all     rate", "an operator's unset removes a limit of the settings")
	c.terminate(t)
	out, code = runTool(t, "fleet", "log", "verify", filepath.Join(dir, "n0"))
	require.Zero(t, code, out)
	out, code = runTool(t, "fleet", "log", "show", filepath.Join(dir, "n0"))
	require.Zero(t, code, out)
	require.Contains(t, out, `"begin"`)
	out, code = runTool(t, "fleet", "status", "--settings", path)
	require.Equal(t, exitFinding, code, out)
}

// TestVerdictCommands runs the verdict commands, as an operator would, on three routers in two zones and a case
// server that hangs: the verdict and its evidence, the calls it diverted, and an operator's hold and release of a
// server.
func TestVerdictCommands(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 3, standin.ServerConfig{Seed: 4,
		HoldTime: [2]time.Duration{50 * time.Millisecond, 100 * time.Millisecond}})
	keeper, dir := freeAddress(t), filepath.Join(s.dir, "keepers")
	section := func(more string) string {
		return fmt.Sprintf(`(threadglade (fleet (name "f") (directory %q) (lease 1s) (renew 300ms) (keeper "k" (address %q)) (members "n*") %s`,
			filepath.Join(dir, "k"), keeper, more)
	}
	path := s.writeFile("keeper.edn", section("))"))
	out, code := runTool(t, "fleet", "found", "--settings", path, "-o", dir)
	require.Zero(t, code, out)
	startChild(t, nil, "fleet", "keeper", "--settings", path, "--name", "k")
	var at []string
	var all []*child
	for i := range 3 {
		at = append(at, freeAddress(t))
		name, listen := fmt.Sprint("n", i), freeAddress(t)
		own := s.writeFile(name+".edn",
			section(fmt.Sprintf(`(listen %q) (zone "z%d")) (verdicts (silence 100ms)) (trace (directory %q) (block 1s)))`,
				at[i], i%2, filepath.Join(s.dir, name))))
		c := startChild(t, s.writeConfig(name, listen), "serve", "--settings", own)
		c.waitReady(t)
		all = append(all, c)
		ctx, stop := context.WithCancel(t.Context())
		load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 2,
			Seed: uint64(i), Rate: 30, Classes: []string{"voice"}, Servers: 3})
		t.Cleanup(func() { stop(); load.Wait() })
	}
	verdicts := func(args ...string) (string, int) {
		return runTool(t, append(append([]string{"fleet", "verdicts"}, args...), "--settings", path)...)
	}
	require.Eventually(t, func() bool {
		out, code = verdicts()
		return code == 0 && strings.Contains(out, "no router reports a problem") && !strings.Contains(out, "no answer")
	}, 15*time.Second, 200*time.Millisecond, "%s", out)
	s.servers[1].SetBehaviour(standin.Behaviour{Hang: true})
	require.Eventually(t, func() bool {
		out, _ = verdicts()
		return strings.Contains(out, "s1") && strings.Contains(out, "gone")
	}, 10*time.Second, 100*time.Millisecond, "%s", out)
	out, code = verdicts("explain", "s1")
	require.Zero(t, code, out)
	require.Contains(t, out, "last missed")
	out, code = verdicts("--json", "--at", at[0]) // querying a router's address needs no keeper
	require.Zero(t, code, out)
	require.Contains(t, out, `"server":"s1"`)
	require.NotContains(t, out, `"server":"s0"`)
	s.servers[1].SetBehaviour(standin.Behaviour{})
	out, code = verdicts("hold", "s0", "--for", "48h", "--why", "too long")
	require.Equal(t, exitUsage, code, out)
	out, code = verdicts("hold", "s0", "--for", "1m", "--why", "its disk is changed")
	require.Zero(t, code, out)
	require.Eventually(t, func() bool {
		out, _ = verdicts()
		return strings.Contains(out, "held for") && strings.Contains(out, "its disk is changed")
	}, 5*time.Second, 100*time.Millisecond, "%s", out)
	out, code = verdicts("release", "s0", "--why", "changed")
	require.Zero(t, code, out)
	require.Eventually(t, func() bool {
		out, _ = verdicts()
		return !strings.Contains(out, "held")
	}, 5*time.Second, 100*time.Millisecond, "%s", out)
	for _, c := range all {
		c.terminate(t)
	}
	// The trace of a diverted call has the verdict that diverted it and the age of its evidence.
	files, err := filepath.Glob(filepath.Join(s.dir, "n0", "*.tgt"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	out, code = runTool(t, "trace", "export", files[0], "--to", "jsonl")
	call := ""
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, `"spared"`) {
			_, rest, _ := strings.Cut(line, `"call":"`)
			call, _, _ = strings.Cut(rest, `"`)
			break
		}
	}
	require.NotEmpty(t, call, "no call was diverted by a verdict: %.2000s", out)
	out, code = runTool(t, "trace", "explain", files[0], call)
	require.Zero(t, code, out)
	require.Regexp(t, "s1 is (gone|unreachable)", out)
	require.Contains(t, out, "ms old")
}

// TestEvacuateErrors checks that a router that can't be evacuated is a finding with its reason, and that unreadable
// settings and invalid arguments are usage errors.
func TestEvacuateErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.edn")
	require.NoError(t, os.WriteFile(path,
		[]byte(`(threadglade (fleet (name "f") (directory "d") (keeper "k" (address "127.0.0.1:1")) (members "n*")))`),
		0o600))
	for want, args := range map[string][]string{
		"no keeper that answers is the leader": {"r1", "--settings", path},
		"connection refused":                   {"127.0.0.1:1", "--settings", path},
	} {
		out, code := runTool(t, append([]string{"fleet", "evacuate"}, args...)...)
		require.Equal(t, exitFinding, code, out)
		require.Contains(t, out, want)
	}
	for _, args := range [][]string{{}, {"r1"}, {"r1", "--settings", path + "x"}, {"r1", "r2", "--settings", path},
		{"r1", "--settings", path, "--wait", "soon"}} {
		out, code := runTool(t, append([]string{"fleet", "evacuate"}, args...)...)
		require.Equal(t, exitUsage, code, out)
	}
}
