package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/registry"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/internal/wire"
)

// This file owns the reading of the platform's configuration, at start, at SIGHUP and for `threadglade check`: the same text gets the same
// verdict from each. It must never change what is in force.

// Config is what the platform tells a call router.
type Config struct {
	Name     string
	Listen   netip.AddrPort
	Mgmt     netip.AddrPort // the operators' door; the zero value: none
	Resolver netip.AddrPort
	Seed     uint64
	MemoryMB int
	Sockets  int
	Cursor   uint32
	Servers  []sip.Server
	Settings threadglade.Settings

	ConnectTimeout time.Duration
	Free, Total    string // names of the figures in a server's state

	tree any // the file, but for the list, to see which keys a later one has lost

	Handover string // the folder that it shares with the process that takes its place; empty: none does

	Product Product    // the product's own settings; everything in it is off unless it says so
	FS      durable.FS // nil: the operating system's
}

// ReadConfig reads the platform's configuration; listen and mgmt, if not empty, override the addresses in it.
func ReadConfig(text []byte, listen, mgmt string) (Config, error) {
	var raw struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Mgmt   string `json:"mgmt"`
		Seed   string `json:"seed"`
		Limits struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Resolver string          `json:"resolver"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	tree, err := readTree(text)
	if err != nil {
		return Config{}, err
	}
	var more struct {
		Report struct {
			Fields []string `json:"fields"`
		} `json:"report"`
		Limits struct {
			Connect float64 `json:"connectTimeoutMs"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw.Settings, &more); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	c := Config{Name: raw.Name, MemoryMB: int(raw.Limits.MemoryMB), Sockets: raw.Limits.Sockets,
		ConnectTimeout: wire.Span(more.Limits.Connect), tree: tree}
	if c.MemoryMB <= 0 || c.Sockets <= 0 {
		return c, fmt.Errorf("limits: memory_mb %v and sockets %d must be above 0", raw.Limits.MemoryMB, raw.Limits.Sockets)
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 500 * time.Millisecond
	}
	if len(more.Report.Fields) >= 2 {
		c.Free, c.Total = more.Report.Fields[0], more.Report.Fields[1]
	}
	if listen == "" {
		listen = raw.Listen
	}
	if c.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if mgmt == "" {
		mgmt = raw.Mgmt
	}
	if mgmt != "" {
		if c.Mgmt, err = netip.ParseAddrPort(mgmt); err != nil {
			return c, fmt.Errorf("mgmt: %w", err)
		}
		if c.Mgmt == c.Listen && c.Mgmt.Port() != 0 {
			return c, fmt.Errorf("mgmt: %s is where callers connect", c.Mgmt)
		}
	}
	if c.Resolver, err = netip.ParseAddrPort(raw.Resolver); err != nil {
		return c, fmt.Errorf("resolver: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Settings, err = wire.Settings(raw.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Cursor, c.Servers, err = registry.ReadKnown(raw.Known); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	if _, err = threadglade.New(c.Settings, c.Seed); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// LoadConfig reads the configuration that the environment names.
func LoadConfig() (Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := ReadConfig(text, os.Getenv("NODE_LISTEN"), os.Getenv("NODE_MGMT"))
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if c.Mgmt.IsValid() { // only where operators run it by the door is one version put in another's place
		c.Handover = os.Getenv("TMPDIR")
	}
	return c, nil
}

// needed are the keys that the router uses and that have no sound default: a file without one was cut or half written. An empty list
// needs no keys of its entries.
var needed = strings.Fields(`name listen seed resolver limits.memory_mb limits.sockets known.cursor known.cmds
	settings.replicasOfMe settings.classes settings.classes[].name settings.classes[].aimMs settings.classes[].deadlineMs
	settings.classes[].gain settings.classes[].repeat settings.domain.allowedPools settings.domain.clearWaitMs settings.domain.holdingMs
	settings.domain.networkForm settings.limits.maxAttempts settings.rules.drainGraceMs settings.rules.coldFrom
	settings.rules.warmWithinMs settings.rules.fallMultiple settings.rules.overloadForMs`)

// mayGo are keys that a file in force may have and a later one need not.
var mayGo = []string{"aimStretch"}

// readTree reads the file as it stands and checks that the needed keys are there. The list of servers is left out: it differs each time.
func readTree(text []byte) (any, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	for _, path := range needed {
		if err := has(tree, strings.Split(path, "."), ""); err != nil {
			return nil, err
		}
	}
	delete(tree, "known")
	return tree, nil
}

// has says which key of a path is missing.
func has(tree any, path []string, at string) error {
	if len(path) == 0 {
		return nil
	}
	key, list := strings.CutSuffix(path[0], "[]")
	object, ok := tree.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is no object", strings.TrimPrefix(at, "."))
	}
	value, there := object[key]
	if at += "." + key; !there || value == nil {
		return fmt.Errorf("%s is missing", at[1:])
	}
	if !list {
		return has(value, path[1:], at)
	}
	entries, ok := value.([]any)
	if !ok {
		return fmt.Errorf("%s is no list", at[1:])
	}
	for i, entry := range entries {
		if err := has(entry, path[1:], fmt.Sprintf("%s[%d]", at, i)); err != nil {
			return err
		}
	}
	return nil
}

// Follows says whether the configuration may take the place of another: it must have every key that the other has, or it was cut.
// Of the entries of a list each must have the keys that all of the other's have.
func (c Config) Follows(old Config) error { return lost(old.tree, c.tree, "") }

func lost(old, now any, at string) error {
	switch old := old.(type) {
	case map[string]any:
		object, ok := now.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object any more", strings.TrimPrefix(at, "."))
		}
		for key, value := range old {
			if slices.Contains(mayGo, key) {
				continue
			}
			path := at + "." + key
			if _, there := object[key]; !there {
				return fmt.Errorf("%s is missing, which the configuration in force has", path[1:])
			}
			if err := lost(value, object[key], path); err != nil {
				return err
			}
		}
	case []any:
		list, ok := now.([]any)
		if !ok {
			return fmt.Errorf("%s is no list any more", at[1:])
		}
		common := shared(old)
		for i, entry := range list {
			if err := lost(common, entry, fmt.Sprintf("%s[%d]", at, i)); common != nil && err != nil {
				return err
			}
		}
	}
	return nil
}

// shared is an object of the keys that all entries of a list have; nil if they are no objects.
func shared(list []any) any {
	var common map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = map[string]any{}
			for key := range object {
				common[key] = nil
			}
		}
		for key := range common {
			if _, there := object[key]; !there {
				delete(common, key)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}
