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

// Host runs many instances over one conversation. The instances share nothing but the process.
type Host struct {
	instances map[string]*threadglade.Controller
	tables    map[int][]Row
	now       time.Duration
	out       *json.Encoder
}

// Serve answers batches from in on out until in ends. A malformed line is an error that names its number.
func Serve(in io.Reader, out io.Writer) error {
	var reply bytes.Buffer
	h := &Host{instances: map[string]*threadglade.Controller{}, tables: map[int][]Row{}, out: json.NewEncoder(&reply)}
	h.out.SetEscapeHTML(false)
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
		line, err := Parse(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := h.take(line); err != nil {
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

// take handles one line and appends what it calls for to the reply.
func (h *Host) take(l Line) error {
	switch l.Cmd {
	case "Mark":
		h.now = Span(l.Clock)
		return nil
	case "EofBatch":
		return h.out.Encode(Reply{Cmd: "End"})
	case "Pool":
		h.tables[l.Table] = l.Rows
		return nil
	case "PowerOn":
		return h.start(l)
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
	actions, err := guarded(func() []threadglade.Action { return instance.Handle(h.now, event) })
	if err != nil {
		return h.fault(l.Proxy, fmt.Errorf("handling %s: %w", l.Cmd, err))
	}
	return h.put(l.Proxy, actions)
}

func (h *Host) start(l Line) error {
	settings, err := Settings(l.Params)
	if err != nil {
		return fmt.Errorf("params: %w", err)
	}
	instance, err := threadglade.New(settings, l.Seed)
	if err != nil {
		return h.fault(l.Proxy, err)
	}
	h.instances[l.Proxy] = instance
	return nil
}

// fault reports that an instance cannot go on.
func (h *Host) fault(proxy string, err error) error {
	return h.out.Encode(Reply{Cmd: "Exception", Proxy: proxy, What: err.Error()})
}

func (h *Host) put(proxy string, actions []threadglade.Action) error {
	for _, a := range actions {
		r, err := Action(proxy, a)
		if err != nil {
			return err
		}
		if err := h.out.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// guarded turns a panic of the module into an error.
func guarded(f func() []threadglade.Action) (actions []threadglade.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return f(), nil
}
