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

// Datagrams come from the sender's address at the relay, and none between two sides.
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
		socks[1].SetReadDeadline(time.Now().Add(testkit.Patience))
		n, from, err := socks[1].ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		return string(buffer[:n]), from.String()
	}
	send("a")
	if text, from := read(); text != "a" || from != at[0] {
		t.Errorf("%q from %s, not from %s", text, from, at[0])
	}
	r.divide([]int{1}, 1)
	send("lost")
	testkit.Eventually(t, "it is counted", func() bool { n, _ := r.count(); return n == 2 })
	r.divide([]int{1}, 0)
	send("b")
	if text, _ := read(); text != "b" {
		t.Errorf("%q has crossed to another side", text)
	}
	if n, bytes := r.count(); n != 3 || bytes != 6 {
		t.Errorf("%d datagrams, %d bytes", n, bytes)
	}
}

// What becomes of datagrams is as it is stated, and the same again for the same seed.
func TestFate(t *testing.T) {
	const n = 20_000
	play := func(seed uint64) (lost, twice, back float64, all string) {
		r, err := newRelay(2, func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1+i) }, LinkOptions{Loss: 0.2, Twice: 0.05, Late: 0.02, Delay: 200 * time.Millisecond}, seed)
		if err != nil {
			t.Fatal(err)
		}
		defer r.close()
		for range n {
			waits := r.fate(0, 1, 10)
			all += fmt.Sprint(len(waits))
			soon := 0
			for _, w := range waits {
				switch {
				case w > late:
					t.Fatalf("after %v", w)
				case w > 200*time.Millisecond:
					back++
				case w < 100*time.Millisecond && w != 0:
				default:
					soon++
				}
			}
			if soon == 0 {
				lost++
			}
			if soon > 1 {
				twice++
			}
		}
		return lost / n, twice / n, back / n, all
	}
	lost, twice, back, first := play(1)
	if math.Abs(lost-0.2*0.95) > 0.02 || math.Abs(twice-0.8*0.05) > 0.01 || math.Abs(back-0.02) > 0.005 {
		t.Errorf("%.3f lost, %.3f twice, %.3f again", lost, twice, back)
	}
	if _, _, _, again := play(1); again != first {
		t.Error("another fate for the same seed")
	}
}
