package httpmsg

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"
)

func budget(keeps int64) *Budget { return &Budget{Most: keeps * keepMost} }

// drain reads so many bytes of an Outflow, or all.
func drain(t *testing.T, o *Outflow, n int) (got []byte) {
	t.Helper()
	for len(got) < n {
		p, err := o.Next()
		if err == io.EOF {
			return got
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, p...)
	}
	return got
}

// What is kept is read again from the first byte, however small the pieces are in which it came.
func TestUploadIsReadAgain(t *testing.T) {
	u := NewUpload(-1, budget(1))
	var want []byte
	for i := range 1000 {
		part := bytes.Repeat([]byte{byte(i)}, i%97)
		want = append(want, part...)
		u.Fill(part, nil)
	}
	if n := len(u.parts); n > len(want)/PartSize+1 {
		t.Errorf("%d parts for %d bytes", n, len(want))
	}
	first, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	half := drain(t, first, len(want)/2)
	first.Close()
	second, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	u.End(nil)
	if got := drain(t, second, len(want)+1); !bytes.Equal(got, want) || !bytes.HasPrefix(want, half) {
		t.Errorf("%d bytes, not %d as they came", len(got), len(want))
	}
	if !u.Whole() {
		t.Error("it is not whole")
	}
}

// Where there is no room, filling waits for a reader, and what was read is dropped: then nobody can begin anew.
func TestUploadBoundsWhatItKeeps(t *testing.T) {
	b := budget(0)
	u := NewUpload(10*Window, b)
	part := bytes.Repeat([]byte{1}, PartSize)
	for range Window / PartSize {
		u.Fill(part, nil)
	}
	giveUp := make(chan struct{})
	close(giveUp)
	if u.Fill(part, giveUp) {
		t.Error("it holds more than its window")
	}
	o, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan []byte)
	go func() { done <- drain(t, o, 10*Window) }()
	for range 8 * Window / PartSize {
		if !u.Fill(part, nil) {
			t.Fatal("no room while it is read")
		}
	}
	u.End(nil)
	if got := <-done; len(got) != 9*Window {
		t.Errorf("%d bytes", len(got))
	}
	if _, err := u.Open(); !errors.Is(err, ErrDropped) {
		t.Errorf("begun anew: %v", err)
	}
	if b.used.Load() != 0 {
		t.Errorf("%d of the budget used", b.used.Load())
	}
}

// Who reads what breaks, or is closed, hears of it, and the budget gets back what it lent.
func TestUploadEnds(t *testing.T) {
	b := budget(1)
	u, poor := NewUpload(-1, b), NewUpload(-1, b)
	if u.keep != keepMost || poor.keep != Window {
		t.Errorf("%d and %d kept", u.keep, poor.keep)
	}
	o, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		_, err := o.Next()
		ended <- err
	}()
	broken := errors.New("broken")
	u.End(broken)
	if err := <-ended; err != broken {
		t.Errorf("%v", err)
	}
	u.Close()
	if _, err := u.Open(); err == nil {
		t.Error("begun when it is closed")
	}
	if b.used.Load() != 0 {
		t.Errorf("%d of the budget used", b.used.Load())
	}
	p, err := poor.Open()
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Millisecond, p.Close)
	if _, err := p.Next(); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("%v", err)
	}
}
