// Package identity tells who speaks: it checks JWT-SVIDs against the trust bundles that the SPIFFE Workload API
// hands out. It owns the bundles and keeps them fresh. It must never hold a private key, accept a token before
// it has a bundle, or let anyone in who is not listed.
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

// Errors of Verify other than those of the token itself.
var (
	ErrNoBundle   = errors.New("no trust bundle yet")
	ErrNotAllowed = errors.New("identity is not allowed")
)

// Caller is who a token speaks for.
type Caller struct {
	ID      string
	Expires time.Time
}

// Config says whom to let in.
type Config struct {
	TrustDomain string
	Audience    string
	Allowed     []string // SPIFFE ids; one that ends in /* stands for all below it
	WorkloadAPI string   // address of the Workload API
}

// Verifier checks tokens.
type Verifier struct {
	policy  atomic.Pointer[policy]
	bundles atomic.Pointer[jwtbundle.Set]
	log     zerolog.Logger
}

// policy says whom to let in.
type policy struct {
	domain   spiffeid.TrustDomain
	audience []string
	exact    map[string]bool
	below    []string
}

// New checks the configuration. The error names the field that is wrong.
func New(c Config, log zerolog.Logger) (*Verifier, error) {
	v := &Verifier{log: log}
	return v, v.Reconfigure(c)
}

// Reconfigure changes who is let in; a wrong configuration changes nothing. The Workload API stays that of Watch.
func (v *Verifier) Reconfigure(c Config) error {
	p, err := newPolicy(c)
	if err == nil {
		v.policy.Store(p)
	}
	return err
}

func newPolicy(c Config) (*policy, error) {
	v := &policy{exact: map[string]bool{}, audience: []string{c.Audience}}
	var err error
	if v.domain, err = spiffeid.TrustDomainFromString(c.TrustDomain); err != nil {
		return nil, fmt.Errorf("trust_domain: %w", err)
	}
	if c.Audience == "" {
		return nil, errors.New("audience: is empty")
	}
	if len(c.Allowed) == 0 {
		return nil, errors.New("allowed_ids: is empty")
	}
	for _, text := range c.Allowed {
		plain, prefix := strings.CutSuffix(text, "/*")
		id, err := spiffeid.FromString(plain)
		if err != nil {
			return nil, fmt.Errorf("allowed_ids: %q: %w", text, err)
		}
		if !id.MemberOf(v.domain) {
			return nil, fmt.Errorf("allowed_ids: %q is not of %s", text, v.domain)
		}
		if prefix {
			v.below = append(v.below, id.String()+"/")
		} else {
			v.exact[id.String()] = true
		}
	}
	if err := workloadapi.ValidateAddress(c.WorkloadAPI); err != nil {
		return nil, fmt.Errorf("workload_api: %w", err)
	}
	return v, nil
}

// Watch follows the trust bundles until the context ends; it returns at once.
func (v *Verifier) Watch(ctx context.Context, address string) error {
	client, err := workloadapi.New(ctx, workloadapi.WithAddr(address))
	if err != nil {
		return fmt.Errorf("workload_api: %w", err)
	}
	go func() {
		defer client.Close()
		if err := client.WatchJWTBundles(ctx, v); err != nil && ctx.Err() == nil {
			v.log.Error().Str("event", "identity_watch_ended").Msgf("identity: the watch of the trust bundles has ended: %v", err)
		}
	}()
	return nil
}

// OnJWTBundlesUpdate takes new bundles.
func (v *Verifier) OnJWTBundlesUpdate(set *jwtbundle.Set) {
	v.bundles.Store(set)
	v.log.Info().Str("event", "identity_bundles").Int("domains", set.Len()).Msgf("identity: trust bundles of %d domains", set.Len())
}

// OnJWTBundlesWatchError hears of trouble with the Workload API; the bundles at hand go on to serve.
func (v *Verifier) OnJWTBundlesWatchError(err error) {
	v.log.Warn().Str("event", "identity_watch").Msgf("identity: Workload API: %v", err)
}

// Verify checks a token and who it speaks for.
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
	for _, prefix := range p.below {
		allowed = allowed || strings.HasPrefix(id, prefix)
	}
	if !allowed || !svid.ID.MemberOf(p.domain) {
		return Caller{}, fmt.Errorf("%s: %w", id, ErrNotAllowed)
	}
	return Caller{ID: id, Expires: svid.Expiry}, nil
}
