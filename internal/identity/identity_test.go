package identity

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/identity/identitytest"
)

// TestVerify checks that only unexpired tokens are accepted that name the audience and a listed identity and are
// signed by an authority of the current bundle, and that none is accepted before there is a bundle.
func TestVerify(t *testing.T) {
	api := identitytest.New(t)
	address := api.Address
	updated := make(chan bool, 9)
	v, err := New(Config{TrustDomain: "branch.example", Audience: "threadglade", WorkloadAPI: address,
		AllowedIDs: []string{"spiffe://branch.example/desk/*", "spiffe://branch.example/ops"}},
		zerolog.New(writeNotifier(updated)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	require.NoError(t, v.Watch(ctx, address))

	k, later := identitytest.Key(t), time.Now().Add(time.Hour)
	good := identitytest.Token(t, k, "spiffe://branch.example/desk/7", "threadglade", later)
	_, err = v.Verify(good)
	require.ErrorIs(t, err, ErrNoBundle)
	api.Bundles <- identitytest.Bundle(t, k)
	<-updated
	caller, err := v.Verify(good)
	require.NoError(t, err)
	require.Equal(t, "spiffe://branch.example/desk/7", caller.ID)
	require.WithinDuration(t, later, caller.Expires, time.Second)
	_, err = v.Verify(identitytest.Token(t, k, "spiffe://branch.example/ops", "threadglade", later))
	require.NoError(t, err)

	for name, bad := range map[string]string{
		"none":     "",
		"nonsense": "a.b.c",
		"expired": identitytest.Token(t, k, "spiffe://branch.example/desk/7", "threadglade",
			time.Now().Add(-time.Hour)),
		"other audience": identitytest.Token(t, k, "spiffe://branch.example/desk/7", "elsewhere", later),
		"other domain":   identitytest.Token(t, k, "spiffe://other.example/desk/7", "threadglade", later),
		"not listed":     identitytest.Token(t, k, "spiffe://branch.example/door", "threadglade", later),
		"below ops":      identitytest.Token(t, k, "spiffe://branch.example/ops/x", "threadglade", later),
		"other key": identitytest.Token(t, identitytest.Key(t), "spiffe://branch.example/desk/7", "threadglade",
			later),
	} {
		_, err := v.Verify(bad)
		require.Error(t, err, name)
	}

	// A new configuration takes effect at once; an invalid one changes nothing.
	ops := Config{TrustDomain: "branch.example", Audience: "threadglade", WorkloadAPI: address,
		AllowedIDs: []string{"spiffe://other.example/x"}}
	require.ErrorContains(t, v.Reconfigure(ops), "allowed_ids")
	_, err = v.Verify(good)
	require.NoError(t, err)
	ops.AllowedIDs = []string{"spiffe://branch.example/ops"}
	require.NoError(t, v.Reconfigure(ops))
	_, err = v.Verify(good)
	require.ErrorIs(t, err, ErrNotAllowed)

	api.Bundles <- identitytest.Bundle(t, identitytest.Key(t)) // the authority is replaced
	<-updated
	_, err = v.Verify(good)
	require.Error(t, err)
}

// TestConfig checks that the error for an invalid configuration names the field.
func TestConfig(t *testing.T) {
	good := Config{TrustDomain: "branch.example", Audience: "a", WorkloadAPI: "unix:///run/x.sock",
		AllowedIDs: []string{"spiffe://branch.example/desk/*"}}
	_, err := New(good, zerolog.Nop())
	require.NoError(t, err)
	for field, change := range map[string]func(*Config){
		"trust_domain": func(c *Config) { c.TrustDomain = "A B" },
		"audience":     func(c *Config) { c.Audience = "" },
		"allowed_ids":  func(c *Config) { c.AllowedIDs = []string{"spiffe://other.example/x"} },
		"workload_api": func(c *Config) { c.WorkloadAPI = "/run/x.sock" },
	} {
		bad := good
		change(&bad)
		_, err := New(bad, zerolog.Nop())
		require.ErrorContains(t, err, field)
	}
}

// writeNotifier is an io.Writer that signals every log event.
type writeNotifier chan bool

// Write implements io.Writer.
func (n writeNotifier) Write(b []byte) (int, error) {
	n <- true
	return len(b), nil
}
