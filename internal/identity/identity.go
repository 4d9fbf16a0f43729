// Package identity authenticates and authorizes callers: it validates JWT-SVIDs against the trust bundles that the
// SPIFFE Workload API distributes, and keeps these up to date. It must never hold a private key, accept a token
// before it has a bundle, or accept an identity that is not listed.
package identity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/spiffe/go-spiffe/v2/bundle/jwtbundle"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/svid/jwtsvid"
	"github.com/spiffe/go-spiffe/v2/workloadapi"
)

// Errors of Verifier.Verify other than those of an invalid token.
var (
	// ErrNoBundle is returned until the first trust bundles have been received.
	ErrNoBundle = errors.New("no trust bundle yet")
	// ErrNotAllowed is returned for a valid token of an identity that is not listed.
	ErrNotAllowed = errors.New("identity is not allowed")
)

// Caller is the subject of a verified token.
type Caller struct {
	ID      string    // SPIFFE ID
	Expires time.Time // when the token expires
}

// Config configures which tokens are accepted.
type Config struct {
	TrustDomain string   // of all accepted identities
	Audience    string   // that a token must name
	AllowedIDs  []string // SPIFFE IDs; one that ends in /* allows all IDs below it
	WorkloadAPI string   // address of the Workload API
}

// Verifier verifies tokens. Its methods may be called concurrently.
type Verifier struct {
	policy  atomic.Pointer[policy]
	bundles atomic.Pointer[jwtbundle.Set]
	log     zerolog.Logger
}

// policy is a parsed Config.
type policy struct {
	domain   spiffeid.TrustDomain
	audience []string
	exact    map[string]bool // allowed IDs
	prefixes []string        // of allowed IDs, each ends in a slash
}

// New returns a Verifier, which accepts no token until Watch has received trust bundles. An error names the invalid
// field.
func New(c Config, log zerolog.Logger) (*Verifier, error) {
	v := &Verifier{log: log}
	return v, v.Reconfigure(c)
}

// Reconfigure replaces the configuration. An error names the invalid field; the previous configuration then stays in
// force. The address of the Workload API stays the one passed to Watch.
func (v *Verifier) Reconfigure(c Config) error {
	p, err := newPolicy(c)
	if err == nil {
		v.policy.Store(p)
	}
	return err
}

// newPolicy validates a configuration.
func newPolicy(c Config) (*policy, error) {
	p := &policy{exact: map[string]bool{}, audience: []string{c.Audience}}
	var err error
	if p.domain, err = spiffeid.TrustDomainFromString(c.TrustDomain); err != nil {
		return nil, fmt.Errorf("trust_domain: %w", err)
	}
	if c.Audience == "" {
		return nil, errors.New("audience: is empty")
	}
	if len(c.AllowedIDs) == 0 {
		return nil, errors.New("allowed_ids: is empty")
	}
	for _, pattern := range c.AllowedIDs {
		base, prefix := strings.CutSuffix(pattern, "/*")
		id, err := spiffeid.FromString(base)
		if err != nil {
			return nil, fmt.Errorf("allowed_ids: %q: %w", pattern, err)
		}
		if !id.MemberOf(p.domain) {
			return nil, fmt.Errorf("allowed_ids: %q is not in trust domain %s", pattern, p.domain)
		}
		if prefix {
			p.prefixes = append(p.prefixes, id.String()+"/")
		} else {
			p.exact[id.String()] = true
		}
	}
	if err := workloadapi.ValidateAddress(c.WorkloadAPI); err != nil {
		return nil, fmt.Errorf("workload_api: %w", err)
	}
	return p, nil
}

// Watch starts to receive trust bundles from the Workload API, until the context ends, and returns at once.
func (v *Verifier) Watch(ctx context.Context, address string) error {
	client, err := workloadapi.New(ctx, workloadapi.WithAddr(address))
	if err != nil {
		return fmt.Errorf("workload_api: %w", err)
	}
	go func() {
		defer client.Close()
		//lint:ignore SA4023 the client always returns an error today, but the interface allows nil
		if err := client.WatchJWTBundles(ctx, v); err != nil && ctx.Err() == nil {
			v.log.Error().Str("event", "identity_watch_ended").
				Msgf("identity: no longer receiving trust bundles: %v", err)
		}
	}()
	return nil
}

// OnJWTBundlesUpdate implements workloadapi.JWTBundleWatcher: it replaces the trust bundles.
func (v *Verifier) OnJWTBundlesUpdate(set *jwtbundle.Set) {
	v.bundles.Store(set)
	v.log.Info().Str("event", "identity_bundles").Int("domains", set.Len()).
		Msgf("identity: received trust bundles of %d domains", set.Len())
}

// OnJWTBundlesWatchError implements workloadapi.JWTBundleWatcher. The bundles received before stay in force.
func (v *Verifier) OnJWTBundlesWatchError(err error) {
	v.log.Warn().Str("event", "identity_watch").Msgf("identity: Workload API: %v", err)
}

// Verify validates a token and returns its subject if it is allowed. Errors are ErrNoBundle, ErrNotAllowed (wrapped)
// and those of the token.
func (v *Verifier) Verify(token string) (Caller, error) {
	set, p := v.bundles.Load(), v.policy.Load()
	if set == nil {
		return Caller{}, ErrNoBundle
	}
	svid, err := jwtsvid.ParseAndValidate(token, set, p.audience)
	if err != nil {
		return Caller{}, err
	}
	id := svid.ID.String()
	allowed := p.exact[id]
	for _, prefix := range p.prefixes {
		allowed = allowed || strings.HasPrefix(id, prefix)
	}
	if !allowed || !svid.ID.MemberOf(p.domain) {
		return Caller{}, fmt.Errorf("%s: %w", id, ErrNotAllowed)
	}
	return Caller{ID: id, Expires: svid.Expiry}, nil
}
