// Package stand holds what the review's cases share: a stand-in for a case server, callers, the name service and the
// platform that starts call routers as the deploy file does. It follows the operators' pages and writes down what was
// sent, answered and run. It must never look into a router's memory, files or log to judge it.
package stand

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file record.txt of a case. Its methods may be called from any goroutine.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

// NewRecord creates the record in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// Printf writes one line with the seconds since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// Close flushes and closes the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// FreePort returns a loopback address whose port was free a moment ago.
func FreePort() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err) // a machine without a free port can't run a case
	}
	defer l.Close()
	return l.Addr().String()
}

// Conn is a connection that several goroutines may write to.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	closed bool
}

// Send writes one message. It returns false if the connection has ended.
func (c *Conn) Send(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	_, err := c.Conn.Write(b)
	return err == nil
}

// End closes the connection; with reset, its peer sees a reset.
func (c *Conn) End(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// Trouble reports whether the case is to run with its disruption: unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
