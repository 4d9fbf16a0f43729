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

// This file parses and checks the platform's configuration. Start, SIGHUP and `threadglade check` share it, so the
// same text is accepted or rejected alike by each. Nothing here changes the settings in force.

// Config is the configuration that the platform gives a call router.
type Config struct {
	Name     string
	Listen   netip.AddrPort // address for callers
	Mgmt     netip.AddrPort // address of the management server; the zero value disables it
	Resolver netip.AddrPort // name service
	Seed     uint64         // of the random number generators
	MemoryMB int            // memory limit of the process, in MiB
	Sockets  int            // limit of open file descriptors
	Cursor   uint32         // serial of the server list in Servers
	Servers  []sip.Server
	Settings threadglade.Settings

	ConnectTimeout        time.Duration
	FreeField, TotalField string // names of the fields for free and total capacity in a server's state

	keyTree any // the decoded file without the server list, to detect keys that a later file lacks

	HandoverDir string // directory shared with the process that replaces this one; empty disables hot restart

	Product ProductSettings // the product's own settings; subsystems that they don't mention are off
	FS      durable.FS      // nil means the operating system's file system
}

// ReadConfig parses and validates the platform's configuration. The arguments listen and mgmt, if not empty, override
// the addresses in it.
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
	var nodeSettings struct {
		Report struct {
			Fields []string `json:"fields"`
		} `json:"report"`
		Limits struct {
			Connect float64 `json:"connectTimeoutMs"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw.Settings, &nodeSettings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	cfg := Config{Name: raw.Name, MemoryMB: int(raw.Limits.MemoryMB), Sockets: raw.Limits.Sockets,
		ConnectTimeout: wire.Duration(nodeSettings.Limits.Connect), keyTree: tree}
	if cfg.MemoryMB <= 0 || cfg.Sockets <= 0 {
		return cfg, fmt.Errorf("limits: memory_mb %v and sockets %d must be above 0",
			raw.Limits.MemoryMB, raw.Limits.Sockets)
	}
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = 500 * time.Millisecond
	}
	if len(nodeSettings.Report.Fields) >= 2 {
		cfg.FreeField, cfg.TotalField = nodeSettings.Report.Fields[0], nodeSettings.Report.Fields[1]
	}
	if listen == "" {
		listen = raw.Listen
	}
	if cfg.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return cfg, fmt.Errorf("listen: %w", err)
	}
	if mgmt == "" {
		mgmt = raw.Mgmt
	}
	if mgmt != "" {
		if cfg.Mgmt, err = netip.ParseAddrPort(mgmt); err != nil {
			return cfg, fmt.Errorf("mgmt: %w", err)
		}
		if cfg.Mgmt == cfg.Listen && cfg.Mgmt.Port() != 0 {
			return cfg, fmt.Errorf("mgmt: %s is the address where callers connect", cfg.Mgmt)
		}
	}
	if cfg.Resolver, err = netip.ParseAddrPort(raw.Resolver); err != nil {
		return cfg, fmt.Errorf("resolver: %w", err)
	}
	if cfg.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return cfg, fmt.Errorf("seed: %w", err)
	}
	if cfg.Settings, err = wire.ParseSettings(raw.Settings); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if cfg.Cursor, cfg.Servers, err = registry.ReadKnownList(raw.Known); err != nil {
		return cfg, fmt.Errorf("known: %w", err)
	}
	if _, err = threadglade.New(cfg.Settings, cfg.Seed); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}

// LoadConfig reads the configuration file named by NODE_CONFIG; NODE_LISTEN and NODE_MGMT override its addresses.
// Errors name the file.
func LoadConfig() (Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	cfg, err := ReadConfig(text, os.Getenv("NODE_LISTEN"), os.Getenv("NODE_MGMT"))
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	if cfg.Mgmt.IsValid() { // hot restart is used only where operators have a management server
		cfg.HandoverDir = os.Getenv("TMPDIR")
	}
	return cfg, nil
}

// requiredKeys are the keys that the router uses and that have no sound default: a file without one was truncated or
// half written. An empty list needs no keys of its entries.
var requiredKeys = strings.Fields(`name listen seed resolver limits.memory_mb limits.sockets known.cursor known.cmds
	settings.replicasOfMe settings.classes settings.classes[].name settings.classes[].aimMs settings.classes[].deadlineMs
	settings.classes[].gain settings.classes[].repeat settings.domain.allowedPools settings.domain.clearWaitMs
	settings.domain.holdingMs settings.domain.networkForm settings.limits.maxAttempts settings.rules.drainGraceMs
	settings.rules.coldFrom settings.rules.warmWithinMs settings.rules.fallMultiple settings.rules.overloadForMs`)

// removableKeys are optional keys: a later file may lack them although the file in force has them.
var removableKeys = []string{"aimStretch"}

// readTree decodes the file without a schema and checks that the required keys are present. The list of servers is
// left out, because it differs from file to file.
func readTree(text []byte) (any, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	for _, path := range requiredKeys {
		if err := requireKey(tree, strings.Split(path, "."), ""); err != nil {
			return nil, err
		}
	}
	delete(tree, "known")
	return tree, nil
}

// requireKey returns an error that names the first missing key of a path. The entries of a list (key[]) are all
// checked.
func requireKey(tree any, path []string, parent string) error {
	if len(path) == 0 {
		return nil
	}
	key, list := strings.CutSuffix(path[0], "[]")
	object, ok := tree.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is not an object", strings.TrimPrefix(parent, "."))
	}
	value, found := object[key]
	if parent += "." + key; !found || value == nil {
		return fmt.Errorf("%s is missing", parent[1:])
	}
	if !list {
		return requireKey(value, path[1:], parent)
	}
	entries, ok := value.([]any)
	if !ok {
		return fmt.Errorf("%s is not a list", parent[1:])
	}
	for i, entry := range entries {
		if err := requireKey(entry, path[1:], fmt.Sprintf("%s[%d]", parent, i)); err != nil {
			return err
		}
	}
	return nil
}

// CheckCanReplace returns an error unless the configuration has every key of the one in force: a file that lacks one
// was truncated. Each entry of a list must have the keys that all entries of the old list have.
func (c Config) CheckCanReplace(old Config) error { return checkKeysKept(old.keyTree, c.keyTree, "") }

// checkKeysKept returns an error that names a key of old that updated lacks; parent is the path of both.
func checkKeysKept(old, updated any, parent string) error {
	switch old := old.(type) {
	case map[string]any:
		object, ok := updated.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no longer an object", strings.TrimPrefix(parent, "."))
		}
		for key, value := range old {
			if slices.Contains(removableKeys, key) {
				continue
			}
			path := parent + "." + key
			if _, found := object[key]; !found {
				return fmt.Errorf("%s is missing, but the configuration in force has it", path[1:])
			}
			if err := checkKeysKept(value, object[key], path); err != nil {
				return err
			}
		}
	case []any:
		list, ok := updated.([]any)
		if !ok {
			return fmt.Errorf("%s is no longer a list", parent[1:])
		}
		common := commonKeys(old)
		for i, entry := range list {
			if err := checkKeysKept(common, entry, fmt.Sprintf("%s[%d]", parent, i)); common != nil && err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all entries of a list have, or nil if an entry is not an object or
// the list is empty.
func commonKeys(entries []any) any {
	var common map[string]any
	for i, entry := range entries {
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
			if _, found := object[key]; !found {
				delete(common, key)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}
