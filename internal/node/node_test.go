package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/callcontrol"
)

const config = `{"name":"n0","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964","resolver":"127.0.0.1:8600",
 "limits":{"memory_mb":192,"sockets":1024},"known":{"cursor":3,"cmds":[
  {"cursor":1,"nodes":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.2:1","cell":0,"phase":"in_service","up_since_ms":0},
   {"id":"b","host_port":"127.0.0.2:2","cell":1,"phase":"in_service","up_since_ms":0}]}},
  {"cursor":3,"nodes":{"complete":false,"members":[{"id":"b","host_port":"127.0.0.2:2","cell":1,"phase":"terminated","up_since_ms":0},
   {"id":"c","host_port":"127.0.0.2:2","cell":1,"phase":"terminating","up_since_ms":1700000000000}]}}]},
 "settings":{"replicasOfMe":1,"classes":[{"name":"voice","aimMs":1000,"deadlineMs":5000,"gain":1}],
  "domain":{"allowedPools":[[0]],"holdingMs":[2000],"networkForm":"skills"},"limits":{"maxAttempts":6,"connectTimeoutMs":250}}}`

// Later events of the known list change earlier ones, and an address may pass to another server.
func TestConfig(t *testing.T) {
	c, err := ReadConfig([]byte(config), "127.0.0.1:9", "")
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", c.Listen.String())
	require.Equal(t, 3, len(c.Servers))
	require.EqualValues(t, 3, c.Cursor)
	require.Equal(t, c.Servers[1].Addr, c.Servers[2].Addr)
	require.EqualValues(t, 1_700_000_000_000, c.Servers[2].Started.Milliseconds())
	for field, change := range map[string][2]string{
		"listen": {`"127.0.0.1:5060"`, `"nowhere"`}, "resolver": {`"127.0.0.1:8600"`, `"x"`}, "seed": {"8c1f", "zz"},
		"known": {"terminating", "dozing"}, "settings": {`"maxAttempts":6`, `"maxAttempts":0`},
	} {
		_, err := ReadConfig([]byte(strings.Replace(config, change[0], change[1], 1)), "", "")
		require.ErrorContains(t, err, field)
	}
}

// The file that switches call control on is read strictly: what is wrong is named. The one in deploy/ is right.
func TestCallControlFile(t *testing.T) {
	good, err := os.ReadFile("../../deploy/callcontrol.toml")
	require.NoError(t, err)
	_, err = callcontrol.Load("../../deploy/callcontrol.toml")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "f.toml")
	for field, change := range map[string][2]string{
		"listen": {"127.0.0.1:8443", "0.0.0.0:8443"}, "trust_domain": {`"branch.example"`, `"A B"`},
		"audience": {`"threadglade"`, `""`}, "allowed_ids": {"spiffe://branch", "spiffe://other"},
		"workload_api": {"unix:///run", "/run"}, "grace_ms": {"5000", "0"}, "origin": {"origins", "origin"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(good), change[0], change[1], 1)), 0o600))
		_, err := callcontrol.Load(path)
		require.ErrorContains(t, err, field)
		require.ErrorContains(t, err, path)
	}
}
