package callcontrol

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/settings"
)

// This file holds the configuration of the front.

// Config configures the front.
type Config struct {
	Listen      string   `toml:"listen"`       // loopback address and port
	Origins     []string `toml:"origins"`      // origins of web pages that may connect
	TrustDomain string   `toml:"trust_domain"` // SPIFFE trust domain of the callers
	Audience    string   `toml:"audience"`     // audience that tokens must name
	AllowedIDs  []string `toml:"allowed_ids"`  // as in identity.Config
	WorkloadAPI string   `toml:"workload_api"` // address of the SPIFFE Workload API
	GraceMs     int      `toml:"grace_ms"`     // how long a call without a socket waits for call.attach
	MaxSockets  int      `toml:"sockets"`      // most connections at once

	Addr netip.AddrPort `toml:"-"` // Listen, parsed
}

// Identity returns the part of the configuration that decides which callers are authorized.
func (c Config) Identity() identity.Config {
	return identity.Config{TrustDomain: c.TrustDomain, Audience: c.Audience, AllowedIDs: c.AllowedIDs,
		WorkloadAPI: c.WorkloadAPI}
}

// Load reads the configuration from a TOML file. An error names the file and the invalid or unknown key.
func Load(path string) (Config, error) {
	c := Config{GraceMs: 5000, MaxSockets: 64}
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if _, err := c.validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Read reads a (callcontrol ...) section of the settings. Errors are recorded in the section and returned by its
// Finish.
func Read(s *settings.Section) Config {
	c := Config{GraceMs: 5000, MaxSockets: 64}
	s.String("listen", &c.Listen)
	c.Origins = s.Strings("origins")
	s.String("trust-domain", &c.TrustDomain)
	s.String("audience", &c.Audience)
	c.AllowedIDs = s.Strings("allowed-ids")
	s.String("workload-api", &c.WorkloadAPI)
	s.Int("grace-ms", &c.GraceMs, 1, 60_000)
	s.Int("sockets", &c.MaxSockets, 1, 1<<20)
	if field, err := c.validate(); err != nil {
		s.Errorf(strings.ReplaceAll(field, "_", "-"), "%v", err)
	}
	return c
}

// validate checks the configuration and sets Addr. It returns the name of the invalid field, which the error has, too.
func (c *Config) validate() (field string, err error) {
	if c.Addr, err = netip.ParseAddrPort(c.Listen); err != nil {
		return "listen", fmt.Errorf("listen: %w", err)
	}
	if !c.Addr.Addr().IsLoopback() {
		return "listen", fmt.Errorf("listen: %s is not a loopback address; TLS is terminated by a local proxy", c.Listen)
	}
	if c.GraceMs < 1 || c.GraceMs > 60_000 {
		return "grace_ms", fmt.Errorf("grace_ms: %d is not between 1 and 60000", c.GraceMs)
	}
	if c.MaxSockets < 1 {
		return "sockets", fmt.Errorf("sockets: %d is not positive", c.MaxSockets)
	}
	if _, err := identity.New(c.Identity(), zerolog.Nop()); err != nil {
		field, _, _ = strings.Cut(err.Error(), ":")
		return field, err
	}
	return "", nil
}
