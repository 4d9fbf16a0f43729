package ledgerio

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/ledger"
)

// fill writes calls of three entries each to a journal, a turn of ten calls at a time; every tenth stays open for a while.
func fill(b *testing.B, dir string, calls int, roll int64) (took time.Duration, bytes int64) {
	book := ledger.NewInitializedState(ledger.Settings{Router: "n0", Length: 60_000, Grace: 1000, UnknownTimeout: 60_000})
	l, err := durable.Continue(journalConfig(durable.OS{}, dir, roll, book), durable.Scan{})
	require.NoError(b, err)
	list := []ledger.Entry{{Kind: ledger.KindName, Index: 1, Text: "lda"}, {Kind: ledger.KindName, Index: 2, Text: "voice"}, {Kind: ledger.KindName, Index: 3, Text: "s0"}}
	at, began := int64(1_700_000_000_000), time.Now()
	for i := range calls {
		at += int64(i & 1)
		call := uint64(i)*0x9e3779b97f4a7c15 + 1
		u := ledger.Usage{ledger.Offered: 1, ledger.EstablishedInTime: 1, ledger.Concluded: 1, ledger.HeldMs: 7000, ledger.WorthMilli: 1000}
		list = append(list, ledger.Entry{Kind: ledger.KindAttempt, At: at, Call: call, Tenant: 1, Class: 2, Server: 3},
			ledger.Entry{Kind: ledger.KindAnswer, At: at, Call: call, InTime: true},
			ledger.Entry{Kind: ledger.KindEnd, At: at, Call: call, Tenant: 1, Class: 2, Usage: u})
		if i%10 == 9 {
			require.NoError(b, l.Append(frames(frameEntries, list)...))
			for j := range list {
				book.Apply(&list[j])
			}
			list = list[:0]
		}
	}
	took = time.Since(began)
	require.NoError(b, l.Close())
	v, err := Inspect(durable.OS{}, dir)
	require.NoError(b, err)
	return took, v.Bytes
}

// BenchmarkRecords appends a million entries, reads them all again, and goes on with the ledger as a router does.
func BenchmarkRecords(b *testing.B) {
	const calls = 333_340
	for _, roll := range []int64{1 << 30, 16 << 20} {
		b.Run(fmt.Sprintf("segments of %d MB", roll>>20), func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				took, bytes := fill(b, dir, calls, roll)
				began := time.Now()
				v, err := Inspect(durable.OS{}, dir)
				require.NoError(b, err)
				read := time.Since(began)
				began = time.Now()
				book, _, err := Recover(durable.OS{}, dir)
				require.NoError(b, err)
				require.Empty(b, book.Calls)
				b.ReportMetric(time.Since(began).Seconds(), "s-recovery")
				b.ReportMetric(float64(v.Book.Entries)/took.Seconds(), "appended/s")
				b.ReportMetric(float64(v.Book.Entries)/read.Seconds(), "checked/s")
				b.ReportMetric(float64(bytes)/calls, "bytes/call")
			}
		})
	}
}
