package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/ledger"
)

// TestMain lets this test binary act as the program itself: with CHILD set in the environment it executes its command
// line. KILL, as OPERATION NAME COUNT, then sets the file operation at which the process kills itself; see crashFS.
func TestMain(m *testing.M) {
	ledger.MinPeriodForTests = time.Second
	if os.Getenv("CHILD") == "" {
		flag.Set("test.parallel", "8") // drills wait most of their time
		os.Exit(m.Run())
	}
	if kill := os.Getenv("KILL"); kill != "" {
		k := &crashFS{FS: durable.OS{}}
		fmt.Sscan(kill, &k.operation, &k.fileName, &k.remaining)
		fileSystem = k
	}
	os.Exit(run(os.Args[1:]))
}

// crashFS kills the process at a file operation: "write" in the middle of the write, any other operation before it is
// executed. The operation "slow" doesn't kill the process but delays that write and every later one by 3 s.
type crashFS struct {
	durable.FS
	mu                  sync.Mutex
	operation, fileName string // fileName is a part of the file's base name
	remaining           int    // matching operations before the one that crashes
}

// matches reports whether the process has to crash, or become slow, at this operation on the file at path.
func (k *crashFS) matches(operation, path string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if operation != k.operation || !strings.Contains(filepath.Base(path), k.fileName) {
		return false
	}
	k.remaining--
	return k.remaining < 0
}

// killSelf kills the process with SIGKILL and doesn't return.
func killSelf() {
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

func (k *crashFS) Create(path string) (durable.File, error) {
	if k.matches("create", path) {
		killSelf()
	}
	f, err := k.FS.Create(path)
	return crashFile{f, k, path}, err
}

func (k *crashFS) Rename(from, to string) error {
	if k.matches("rename", to) {
		killSelf()
	}
	return k.FS.Rename(from, to)
}

func (k *crashFS) Remove(path string) error {
	if k.matches("remove", path) {
		killSelf()
	}
	return k.FS.Remove(path)
}

func (k *crashFS) SyncDir(dir string) error {
	if k.matches("syncdir", dir) {
		killSelf()
	}
	return k.FS.SyncDir(dir)
}

// crashFile is a file of a crashFS.
type crashFile struct {
	durable.File
	fs   *crashFS
	path string
}

func (f crashFile) Write(b []byte) (int, error) {
	if f.fs.matches("slow", f.path) {
		unix.Nanosleep(&unix.Timespec{Sec: 3}, nil) // blocks the thread in the kernel, as a slow disk does
	}
	if f.fs.matches("write", f.path) {
		f.File.Write(b[:len(b)/2])
		killSelf()
	}
	return f.File.Write(b)
}

func (f crashFile) Sync() error {
	if f.fs.matches("sync", f.path) {
		killSelf()
	}
	return f.File.Sync()
}

// child is a process of the program under test.
type child struct {
	cmd    *exec.Cmd
	ready  chan bool // closed once it serves calls
	exited chan struct{}
	mu     sync.Mutex
	output strings.Builder
}

func (c *child) log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.String()
}

// suspend stops the process with SIGSTOP and returns once it has stopped. Sending the signal alone doesn't wait: on a
// busy machine the process may still run, and answer, for some milliseconds.
func (c *child) suspend(t testing.TB) {
	require.NoError(t, c.cmd.Process.Signal(unix.SIGSTOP))
	var err error = unix.EINTR
	for errors.Is(err, unix.EINTR) {
		err = unix.Waitid(unix.P_PID, c.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
	}
	require.NoError(t, err)
}

// startChild starts this test binary as the program, with env added to its environment.
func startChild(t testing.TB, env []string, args ...string) *child {
	return startProgram(t, os.Args[0], env, args...)
}

// startProgram starts the program at a path, with env added to its environment. The process is killed as the test
// ends.
func startProgram(t testing.TB, program string, env []string, args ...string) *child {
	c := &child{cmd: exec.Command(program, args...), ready: make(chan bool), exited: make(chan struct{})}
	c.cmd.Env = append(append(os.Environ(), "CHILD=1"), env...)
	r, err := c.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.cmd.Start())
	go func() {
		b, readySeen := bufio.NewReader(r), false
		for {
			line, err := b.ReadString('\n')
			c.mu.Lock()
			c.output.WriteString(line)
			c.mu.Unlock()
			if !readySeen && strings.Contains(line, "serving on") {
				readySeen = true
				close(c.ready)
			}
			if err != nil {
				break
			}
		}
		c.cmd.Wait()
		close(c.exited)
	}()
	t.Cleanup(func() { c.kill() })
	return c
}

func (c *child) kill() {
	c.cmd.Process.Kill()
	<-c.exited
}

// waitReady waits until the process serves calls or has exited.
func (c *child) waitReady(t testing.TB) {
	select {
	case <-c.ready:
	case <-c.exited:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the process does not become ready", c.log())
	}
}

// terminate sends SIGTERM and requires the process to exit with code 0 within 10 s.
func (c *child) terminate(t testing.TB) {
	require.NoError(t, c.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-c.exited:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the process does not exit", c.log())
	}
	require.Zero(t, c.cmd.ProcessState.ExitCode(), c.log())
}

// runTool runs a command of the program and returns its output and exit code.
func runTool(t testing.TB, args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "CHILD=1")
	out, err := cmd.CombinedOutput()
	if _, ended := err.(*exec.ExitError); err != nil && !ended {
		require.NoError(t, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// testbed has simulated case servers, a name service and the configurations of routers that use them.
type testbed struct {
	t       testing.TB
	dir     string
	names   *standin.NameService
	servers []*standin.Server
}

// newTestbed starts a name service and the given number of case servers. Each has the configuration cfg, but an ID and
// a number of its own.
func newTestbed(t testing.TB, servers int, cfg standin.ServerConfig) *testbed {
	s := &testbed{t: t, dir: t.TempDir()}
	var err error
	s.names, err = standin.NewNameService(7, false)
	require.NoError(t, err)
	t.Cleanup(s.names.Close)
	var list []standin.Entry
	for i := range servers {
		cfg.ID, cfg.Number = fmt.Sprintf("s%d", i), i
		one, err := standin.NewServer(cfg)
		require.NoError(t, err)
		t.Cleanup(one.Close)
		s.servers = append(s.servers, one)
		list = append(list, one.Entry())
	}
	s.names.SetServers(7, list)
	return s
}

// freeAddress returns a loopback address with an unused port.
func freeAddress(testing.TB) string { return standin.FreeAddr() }

// writeConfig writes a router's configuration and returns the environment that refers to it.
func (s *testbed) writeConfig(name, listen string) []string {
	var list []standin.Entry
	for _, one := range s.servers {
		list = append(list, one.Entry())
	}
	text := standin.RouterConfig(name, listen, s.names.Addr(), 7, list)
	path := filepath.Join(s.dir, name+".json")
	require.NoError(s.t, os.WriteFile(path, text, 0o600))
	return []string{"NODE_CONFIG=" + path}
}

// writeFile writes a file into the testbed's directory and returns its path.
func (s *testbed) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// waitIdle waits until no call is established at a case server and every release has been acknowledged.
func (s *testbed) waitIdle() {
	var pending []string
	require.Eventually(s.t, func() bool {
		pending = nil
		for _, one := range s.servers {
			if established, unacknowledged := one.ActiveCalls(); established+unacknowledged > 0 {
				pending = append(pending, fmt.Sprintf("%s: %d calls established, %d releases unacknowledged",
					one.Entry().ID, established,
					unacknowledged))
			}
		}
		return pending == nil
	}, 15*time.Second, 20*time.Millisecond, "%v", &pending)
}
