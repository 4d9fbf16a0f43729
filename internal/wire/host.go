package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"threadglade.example/threadglade"
)

// Host runs controller instances for the simulator on one connection. The instances share no state.
type Host struct {
	instances map[string]*threadglade.Controller // by proxy ID
	tables    map[int][]Row                      // server lists by table number
	now       time.Duration                      // simulated time
	replies   *json.Encoder
}

// Serve reads batches of lines from in and writes the reply to each batch to out, until in ends. The error for a
// malformed line names its number.
func Serve(in io.Reader, out io.Writer) error {
	var reply bytes.Buffer
	h := &Host{instances: map[string]*threadglade.Controller{}, tables: map[int][]Row{},
		replies: json.NewEncoder(&reply)}
	h.replies.SetEscapeHTML(false)
	lines := bufio.NewReaderSize(in, 1<<20)
	for number := 1; ; number++ {
		text, err := lines.ReadBytes('\n')
		text = bytes.TrimSpace(text)
		if err == io.EOF && len(text) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(text) == 0 {
			continue
		}
		line, err := ParseLine(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := h.handle(line); err != nil {
			return fmt.Errorf("line %d: %s: %w", number, line.Cmd, err)
		}
		if line.Cmd != "EofBatch" {
			continue
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		reply.Reset()
	}
}

// handle processes one line and appends any resulting lines to the reply.
func (h *Host) handle(l Line) error {
	switch l.Cmd {
	case "Mark":
		h.now = Duration(l.Clock)
		return nil
	case "EofBatch":
		return h.replies.Encode(Reply{Cmd: "End"})
	case "Pool":
		h.tables[l.Table] = l.Rows
		return nil
	case "PowerOn":
		return h.startInstance(l)
	case "Destroy":
		delete(h.instances, l.Proxy)
		return nil
	}
	event, known, err := l.Event(h.tables)
	if err != nil {
		return err
	}
	instance := h.instances[l.Proxy]
	if instance == nil || !known {
		return nil
	}
	actions, err := recoverPanic(func() []threadglade.Action { return instance.Handle(h.now, event) })
	if err != nil {
		return h.writeException(l.Proxy, fmt.Errorf("handling %s: %w", l.Cmd, err))
	}
	return h.writeActions(l.Proxy, actions)
}

// startInstance creates the controller of a proxy.
func (h *Host) startInstance(l Line) error {
	settings, err := ParseSettings(l.Params)
	if err != nil {
		return fmt.Errorf("params: %w", err)
	}
	instance, err := threadglade.New(settings, l.Seed)
	if err != nil {
		return h.writeException(l.Proxy, err)
	}
	h.instances[l.Proxy] = instance
	return nil
}

// writeException reports that an instance has failed.
func (h *Host) writeException(proxy string, err error) error {
	return h.replies.Encode(Reply{Cmd: "Exception", Proxy: proxy, Error: err.Error()})
}

// writeActions appends a controller's actions to the reply.
func (h *Host) writeActions(proxy string, actions []threadglade.Action) error {
	for _, a := range actions {
		r, err := EncodeAction(proxy, a)
		if err != nil {
			return err
		}
		if err := h.replies.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// recoverPanic calls f and turns a panic into an error.
func recoverPanic(f func() []threadglade.Action) (actions []threadglade.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return f(), nil
}
