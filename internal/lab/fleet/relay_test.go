package fleet

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// Datagrams arrive from the sender's address at the relay, and none are delivered between two sides.
func TestRelay(t *testing.T) {
	var socks []*net.UDPConn
	for range 2 {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		socks = append(socks, c)
	}
	r, err := newRelay(2, func(i int) string { return socks[i].LocalAddr().String() }, LinkOptions{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	at := r.addrs()
	send := func(text string) {
		socks[0].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(at[1]))
	}
	read := func() (string, string) {
		buffer := make([]byte, 100)
		socks[1].SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
		n, from, err := socks[1].ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		return string(buffer[:n]), from.String()
	}
	send("a")
	if text, from := read(); text != "a" || from != at[0] {
		t.Errorf("received %q from %s, want a from %s", text, from, at[0])
	}
	r.partition([]int{1}, 1)
	send("lost")
	testkit.Eventually(t, "the lost datagram is counted", func() bool { n, _ := r.sent(); return n == 2 })
	r.partition([]int{1}, 0)
	send("b")
	if text, _ := read(); text != "b" {
		t.Errorf("received %q, want b: a datagram was delivered to another side", text)
	}
	if n, bytes := r.sent(); n != 3 || bytes != 6 {
		t.Errorf("sent %d datagrams, %d bytes, want 3 and 6", n, bytes)
	}
}

// Datagrams are lost, duplicated and delayed at the configured rates, and identically for the same seed.
func TestDatagramLossDuplicationAndDelay(t *testing.T) {
	const n = 20_000
	simulate := func(seed uint64) (lost, twice, replayed float64, all string) {
		r, err := newRelay(2, func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1+i) }, LinkOptions{Loss: 0.2, Twice: 0.05, Late: 0.02, Delay: 200 * time.Millisecond}, seed)
		if err != nil {
			t.Fatal(err)
		}
		defer r.close()
		for range n {
			delays := r.delays(0, 1, 10)
			all += fmt.Sprint(len(delays))
			prompt := 0
			for _, d := range delays {
				switch {
				case d > maxReplayDelay:
					t.Fatalf("delay of %v", d)
				case d > 200*time.Millisecond:
					replayed++
				case d < 100*time.Millisecond && d != 0:
				default:
					prompt++
				}
			}
			if prompt == 0 {
				lost++
			}
			if prompt > 1 {
				twice++
			}
		}
		return lost / n, twice / n, replayed / n, all
	}
	lost, twice, replayed, first := simulate(1)
	if math.Abs(lost-0.2*0.95) > 0.02 || math.Abs(twice-0.8*0.05) > 0.01 || math.Abs(replayed-0.02) > 0.005 {
		t.Errorf("shares: %.3f lost, %.3f delivered twice, %.3f replayed late", lost, twice, replayed)
	}
	if _, _, _, again := simulate(1); again != first {
		t.Error("two runs with the same seed differ")
	}
}
