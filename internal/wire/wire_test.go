package wire

import (
	"bytes"
	"strings"
	"testing"

	"threadglade.example/threadglade"
)

// start is a batch that starts an instance with one class and one server.
const start = `{"cmd":"Mark","clockMs":1000}
{"cmd":"PowerOn","proxyId":"proxy/0","randomSeed":5,"params":{"me":0,"replicasOfMe":2,"discovery":"pushed","unknown":1,` +
	`"classes":[{"name":"song","aimMs":1000,"deadlineMs":5000,"gain":2,"lateWorth":0.5,"repeat":"free"}],` +
	`"domain":{"allowedPools":[[4]],"clearWaitMs":300,"holdingMs":[2000],"networkForm":"skills"},` +
	`"limits":{"maxAttempts":3,"cancel":true},"rules":{"coldFrom":0.3,"warmWithinMs":9000,"fallMultiple":2,` +
	`"overloadForMs":1000}}}
{"cmd":"Pool","table":0,"rows":[{"server":"10.0.0.1:7","number":4,"state":"up"}]}
{"cmd":"Registry","proxyId":"proxy/0","scope":"Persisted","rev":1,"table":0}
{"cmd":"CheckResult","proxyId":"proxy/0","server":"10.0.0.1:7","ending":"OK","pressure":{"idle":9,"circuits":9}}
{"cmd":"EofBatch"}
`

// call is a batch with one arrival.
const call = `{"cmd":"Mark","clockMs":1005.5}
{"cmd":"JobIn","proxyId":"proxy/0","txn":"t1","lane":"song","resource":"aa","timeLeftMs":2000,"destination":4}
{"cmd":"EofBatch"}
`

// serve runs Serve on the input and returns its output.
func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// An instance sends an attempt for an arrival, refuses the call when the server rejects the attempt, and sends
// nothing once it is destroyed.
func TestConversation(t *testing.T) {
	got, err := serve(t, start+call+`{"cmd":"Mark","clockMs":1040}
{"cmd":"ClosedAttempt","proxyId":"proxy/0","txn":"t1","seqNo":0,"server":"10.0.0.1:7","ending":"RESOURCE_EXHAUSTED",`+
		`"waitTimeMs":34.5,"clearCode":3}
{"cmd":"EofBatch"}
{"cmd":"Mark","clockMs":1050}
{"cmd":"Destroy","proxyId":"proxy/0"}
{"cmd":"JobIn","proxyId":"proxy/0","txn":"t2","lane":"song","timeLeftMs":2000,"destination":4}
{"cmd":"EofBatch"}
`)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"cmd":"End"}
{"cmd":"WakeAt","proxyId":"proxy/0","atMs":1505.5,"handle":1}
{"cmd":"WakeAt","proxyId":"proxy/0","atMs":1205.5,"handle":2}
{"cmd":"SubmitTo","proxyId":"proxy/0","txn":"t1","server":"10.0.0.1:7","capMs":2000}
{"cmd":"End"}
{"cmd":"Shed","proxyId":"proxy/0","txn":"t1"}
{"cmd":"End"}
{"cmd":"End"}
`
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// An instance decides the same whether or not another runs beside it.
func TestInstancesShareNothing(t *testing.T) {
	alone, err := serve(t, start+call)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.ReplaceAll(start, "proxy/0", "proxy/1")
	both, err := serve(t, other+start+call)
	if err != nil {
		t.Fatal(err)
	}
	if both != `{"cmd":"End"}`+"\n"+alone {
		t.Errorf("beside another instance:\n%s\nalone:\n%s", both, alone)
	}
}

// The error for an invalid line names its number and the invalid value.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"not JSON":       {"{\n", "line 1"},
		"no name":        {`{"cmd":"Mark"}` + "\n{}\n", "line 2: no cmd field"},
		"wrong type":     {`{"cmd":"Mark","clockMs":"soon"}` + "\n", "line 1"},
		"unknown ending": {start + `{"cmd":"ClosedAttempt","proxyId":"proxy/0","ending":"WHAT"}` + "\n", `ending "WHAT"`},
		"unknown state": {`{"cmd":"Pool","table":1,"rows":[{"state":"odd"}]}` + "\n" +
			`{"cmd":"Registry","proxyId":"p","table":1}`, `state "odd"`},
		"settings not an object": {`{"cmd":"PowerOn","proxyId":"p","params":7}` + "\n", "params"},
	} {
		if _, err := serve(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

// Invalid settings are reported as an exception of the instance.
func TestInvalidSettingsAreReported(t *testing.T) {
	got, err := serve(t, `{"cmd":"PowerOn","proxyId":"p","params":{"replicasOfMe":1}}`+"\n"+`{"cmd":"EofBatch"}`)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(got, `{"cmd":"Exception","proxyId":"p","what":"threadglade: Classes`) {
		t.Errorf("got %s", got)
	}
}

// A panic of the controller becomes an error.
func TestPanicIsAnError(t *testing.T) {
	if _, err := recoverPanic(func() (_ []threadglade.Action) { panic("odd state") }); err == nil {
		t.Error("no error")
	}
}

// FuzzServe checks that no input makes Serve panic or write an incomplete reply.
func FuzzServe(f *testing.F) {
	f.Add(start + call)
	f.Add("{}")
	f.Add(`{"cmd":"Registry","proxyId":"proxy/0","scope":"Error"}`)
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		_ = Serve(strings.NewReader(in), &out)
		if text := out.String(); text != "" && !strings.HasSuffix(text, "{\"cmd\":\"End\"}\n") {
			t.Errorf("incomplete reply: %q", text)
		}
	})
}
