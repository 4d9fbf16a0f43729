package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type read struct {
	level   string
	most    int
	every   time.Duration
	tenants []string
}

func load(text string) (r read, err error) {
	s, err := Parse("f.sexp", text)
	if err != nil {
		return r, err
	}
	r = read{level: "info", most: 3, every: time.Second}
	log := s.Sub("log")
	log.Choice("level", &r.level, "info", "warn")
	log.Int("most", &r.most, 1, 9)
	log.Duration("every", &r.every, time.Millisecond, time.Hour)
	s.EachSection("tenant", func(t *Section) {
		r.tenants = append(r.tenants, fmt.Sprint(t.Label(), t.Strings("networks")))
	})
	return r, s.Finish()
}

// All kinds of fields are read, and absent ones keep their defaults.
func TestRead(t *testing.T) {
	r, err := load("; all\n(threadglade (log (level warn) (every \"2m\"))\n" +
		" (tenant \"a b\" (networks \"10.0.0.0/8\" x))\n (tenant c))")
	require.NoError(t, err)
	require.Equal(t, read{
		level:   "warn",
		most:    3,
		every:   2 * time.Minute,
		tenants: []string{"a b[10.0.0.0/8 x]", "c[]"},
	}, r)
}

// Errors name the file, the line and the field.
func TestErrorsNamePosition(t *testing.T) {
	for text, want := range map[string]string{
		"(threadglade\n (log (level loud)))":     `f.sexp:2: threadglade log level: "loud" is not one of info, warn`,
		"(threadglade\n\n (log (most 10)))":      `f.sexp:3: threadglade log most: "10" is not an integer from 1 to 9`,
		"(threadglade (log (every 2h)))":         `every: "2h" is not a duration from 1ms to 1h`,
		"(threadglade (log (most 1 2)))":         "most: expected one value, found 2",
		"(threadglade (log (most 1) (most 2)))":  "most: is given more than once",
		"(threadglade (log\n (colour red)))":     `f.sexp:2: threadglade log: unknown field "colour"`,
		"(threadglade\n (ledgre (directory x)))": `f.sexp:2: threadglade: unknown field "ledgre"`,
		"(threadglade (tenant x\n (nets 1)))":    `f.sexp:2: threadglade tenant: unknown field "nets"`,
		"(threadglade (tenant (networks 1)))":    "its name is missing",
		"(other)":                                "f.sexp:1: found (other ...), expected (threadglade ...)",
		"(threadglade\n (log (level info)":       "f.sexp:2",
		"(threadglade) more":                     "f.sexp:1",
		"":                                       "f.sexp:1",
		"(threadglade \"open":                    "f.sexp:1",

		strings.Repeat("(", 100) + strings.Repeat(")", 100): "more than 32 lists",
	} {
		_, err := load(text)
		require.ErrorContains(t, err, want, text)
	}
}

func BenchmarkNetworks(b *testing.B) {
	var text strings.Builder
	text.WriteString("(threadglade")
	for i := range 10_000 {
		fmt.Fprintf(&text, "\n(tenant t%d (networks", i)
		for j := range 10 {
			fmt.Fprintf(&text, ` "10.%d.%d.%d/32"`, i>>8, i&255, j)
		}
		text.WriteString("))")
	}
	text.WriteString(")")
	for b.Loop() {
		if _, err := load(text.String()); err != nil {
			b.Fatal(err)
		}
	}
}
