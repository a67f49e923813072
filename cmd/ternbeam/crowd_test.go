package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against a new connection that is closed for room before its client, on a machine that is late, has sent its request.
func TestNewConnectionsHaveTimeToSendInACrowd(t *testing.T) {
	const sockets, crowd, late = 160, 150, 130 * time.Millisecond
	for _, class := range []string{"form-check", "refund-pay"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			config, listen := configureLimited(t, free(t), shutdownSettings(randomDeadline), sockets, slowServer(t))
			p := startReady(t, config, listen, false)
			var clients []*patientClient
			for number := range 8 {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				clients = append(clients, &patientClient{listen: listen, name: fmt.Sprint("client-", number), class: class, conn: conn})
			}
			for range crowd {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
			time.Sleep(late)
			var wait sync.WaitGroup
			for _, c := range clients {
				wait.Go(func() { c.run(t, 1) })
			}
			wait.Wait()
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}
