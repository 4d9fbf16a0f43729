package threadglade_test

import (
	"fmt"
	"time"

	"threadglade.example/threadglade"
)

// A call arrives and is sent to its first-choice server.
func Example() {
	controller, err := threadglade.New(threadglade.Settings{
		Proxies: 3,
		Classes: []threadglade.Class{{Name: "call", Aim: time.Second, Deadline: 8 * time.Second,
			HoldingTime: 5 * time.Second, Worth: 1, Servers: []int{1}}},
		Limits: threadglade.Limits{MaxAttempts: 2},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any monotonic clock
	controller.Handle(now, threadglade.ServerList{Servers: []threadglade.Server{{ID: "core-1", Number: 1}}})
	for _, action := range controller.Handle(now, threadglade.Arrival{Call: "c1", Class: "call", Number: "555",
		TimeLeft: 3 * time.Second, Destination: 1}) {
		if send, ok := action.(threadglade.Send); ok {
			fmt.Println("send", send.Call, "to", send.Server, "for at most", send.Timeout)
		}
	}
	// Output: send c1 to core-1 for at most 3s
}
