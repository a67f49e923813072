package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
)

// Servers in two zones of two cells each lose the answer to each fifth keyed request: requests are sent again, once connections have shown the
// processes for long enough, and none runs in two groups.
func TestKeyedRequestsAreSentAgainWithinTheirGroup(t *testing.T) {
	t.Parallel()
	const (
		servers  = 8
		warmUp   = 7 * time.Second // the list names other processes by then, and its watch has said so
		requests = 200
	)
	for _, group := range []string{"zone", "cell"} {
		t.Run(group, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			groupsOf := map[string][]string{} // by request: the groups in which it ran
			var entries []discovery.Entry
			for i := range servers {
				e := discovery.Entry{ID: fmt.Sprint("s-", i), Addr: unusedAddr(t), Zone: fmt.Sprint("z", i%2), Cell: i % 4, State: "in_service", Weight: 1}
				name := map[string]string{"zone": e.Zone, "cell": fmt.Sprint("cell ", e.Cell)}[group]
				startMortal(t, e.Addr, func(_ *mortalServer, id string) bool {
					mu.Lock()
					defer mu.Unlock()
					groupsOf[id] = append(groupsOf[id], name)
					return len(groupsOf[id]) > 1 || !strings.HasSuffix(id, "0") && !strings.HasSuffix(id, "5")
				})
				entries = append(entries, e)
			}
			list, err := standin.NewList(entries...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(list.Close)
			settings := strings.Replace(everyEffectSettings(randomDeadline, time.Second), `"Effect":"by_key","Group":"all"`, `"Effect":"by_key","Group":"`+group+`"`, 1)
			settings = strings.Replace(settings, `"Zones":["z"]`, `"Zones":["z0","z1"]`, 1)
			config, listen := configure(t, list.Addr(), settings)
			p := startReady(t, config, listen, true)
			send := func(id string) int {
				conn := sendKeyed(t, listen, "refund-record", id)
				defer conn.Close()
				return status(conn)
			}
			for end := time.Now().Add(warmUp); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				send(fmt.Sprintf("warm-up-%d-1", time.Now().UnixNano()))
			}
			served := 0
			for number := range requests {
				if send(fmt.Sprint("id-", number)) == http.StatusOK {
					served++
				}
				time.Sleep(5 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			again := 0
			for id, groups := range groupsOf {
				if len(groups) > 1 {
					again++
				}
				if len(groups) > 1 && groups[0] != groups[1] || len(groups) > 2 {
					t.Errorf("%s ran in %q", id, groups)
				}
			}
			t.Logf("%d of %d served, %d sent again", served, requests, again)
			if again == 0 || served < requests*7/10 {
				t.Errorf("%d of %d served, %d sent again\n%s", served, requests, again, p.log)
			}
		})
	}
}
