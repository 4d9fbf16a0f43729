package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/router"
)

const config = `{"name":"n0","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964","resolver":"127.0.0.1:8600",
 "limits":{"memory_mb":192,"sockets":1024},"known":{"cursor":3,"cmds":[
  {"cursor":1,"nodes":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.2:1","cell":0,"phase":"in_service","up_since_ms":0},
   {"id":"b","host_port":"127.0.0.2:2","cell":1,"phase":"in_service","up_since_ms":0}]}},
  {"cursor":3,"nodes":{"complete":false,"members":[{"id":"b","host_port":"127.0.0.2:2","cell":1,"phase":"terminated","up_since_ms":0},
   {"id":"c","host_port":"127.0.0.2:2","cell":1,"phase":"terminating","up_since_ms":1700000000000}]}}]},
 "settings":{"replicasOfMe":1,"classes":[{"name":"voice","aimMs":1000,"deadlineMs":5000,"gain":1,"repeat":"free"}],
  "domain":{"allowedPools":[[0]],"clearWaitMs":200,"holdingMs":[2000],"networkForm":"skills"},"limits":{"maxAttempts":6,"connectTimeoutMs":250},
  "rules":{"drainGraceMs":1000,"coldFrom":0.37,"warmWithinMs":9000,"fallMultiple":3,"overloadForMs":2000}}}`

// Later events of the known list override earlier ones, and an address may pass to another server.
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

// The call control file is parsed strictly: errors name the file and the field. The file in deploy/ is valid.
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

// After any sequence of valid, broken and truncated files, the settings, the name service and the limits in force are
// those of the last valid one.
func TestLastValidFileStaysInForce(t *testing.T) {
	first := strings.Replace(config, "127.0.0.1:5060", "127.0.0.1:0", 1)
	rapid.Check(t, func(t *rapid.T) {
		c, err := ReadConfig([]byte(first), "", "")
		require.NoError(t, err)
		n, err := New(c, router.SystemClock(), zerolog.Nop())
		require.NoError(t, err)
		defer n.Loop.Close()
		for range rapid.IntRange(1, 12).Draw(t, "files") {
			attempts := rapid.IntRange(-1, 6).Draw(t, "attempts")
			port := rapid.IntRange(8600, 8603).Draw(t, "name service")
			sockets := rapid.IntRange(0, 3).Draw(t, "sockets") * 100
			deadline := rapid.SampledFrom([]int{0, 1000, 5000}).Draw(t, "deadline")
			name := rapid.SampledFrom([]string{"voice", "data"}).Draw(t, "class")
			text := strings.NewReplacer(
				`"maxAttempts":6`, fmt.Sprintf(`"maxAttempts":%d`, attempts),
				"8600", strconv.Itoa(port),
				`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
				`"deadlineMs":5000`, fmt.Sprintf(`"deadlineMs":%d`, deadline),
				"voice", name,
			).Replace(first)
			good := attempts > 0 && sockets > 0 && deadline > 0
			switch rapid.IntRange(0, 5).Draw(t, "damage") {
			case 0:
				text, good = text[:rapid.IntRange(0, len(text)-1).Draw(t, "cut")], false
			case 1:
				key := rapid.SampledFrom([]string{
					"resolver", "limits", "maxAttempts", "deadlineMs", "repeat", "cmds", "rules", "domain", "connectTimeoutMs",
				}).Draw(t, "key")
				text, good = strings.Replace(text, `"`+key+`"`, `"x`+key+`"`, 1), false
			}
			before := n.config
			read, err := ReadConfig([]byte(text), "", "")
			if err == nil {
				err = n.Apply(read)
			}
			require.Equal(t, good, err == nil, "%s: %v", text, err)
			want := before
			if good {
				want = read
			}
			require.Equal(t, want.Settings, n.config.Settings)
			require.Equal(t, want.Settings, n.Router.Settings())
			require.Equal(t, want.Resolver, n.config.Resolver)
			require.Equal(t, want.Sockets, n.config.Sockets)
		}
	})
}
