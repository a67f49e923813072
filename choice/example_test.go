package choice_test

import (
	"fmt"
	"time"

	"ternbeam/choice"
)

func Example() {
	b, err := choice.New(choice.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes:     []choice.Class{{Name: "read", Aim: 200 * time.Millisecond, Deadline: time.Second, Value: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(time.Now().UnixNano()) // the wall clock, which all balancers share
	b.Start(now)
	b.Handle(now, choice.ServerList{Full: true, Servers: []choice.Server{{ID: "10.0.0.1:80"}}})
	for _, a := range b.Handle(now, choice.Request{ID: "1", Deadline: now + time.Second}) {
		if a.Kind == choice.Send {
			fmt.Println("send", a.Request, "to", a.Server)
		}
	}
	// Output: send 1 to 10.0.0.1:80
}
