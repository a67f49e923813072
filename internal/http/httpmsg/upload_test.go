package httpmsg

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"ternbeam/internal/host/membudget"
)

// newBudget returns a budget with room for the kept bytes of this number of uploads.
func newBudget(uploads int64) *membudget.Budget { return membudget.New(2 * uploads * maxKeptBytes) }

// readN reads n bytes of an UploadReader, or up to its end.
func readN(t *testing.T, r *UploadReader, n int) (got []byte) {
	t.Helper()
	for len(got) < n {
		p, err := r.Next()
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

// Bytes that are kept can be read again from the first one, however small the pieces in which they were received.
func TestUploadCanBeReadAgain(t *testing.T) {
	u := NewUpload(-1, newBudget(1))
	var want []byte
	for i := range 1000 {
		part := bytes.Repeat([]byte{byte(i)}, i%97)
		want = append(want, part...)
		u.Append(part, nil)
	}
	if n := len(u.parts); n > len(want)/PartSize+1 {
		t.Errorf("%d parts for %d bytes", n, len(want))
	}
	first, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	half := readN(t, first, len(want)/2)
	first.Close()
	second, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	u.Finish(nil)
	if got := readN(t, second, len(want)+1); !bytes.Equal(got, want) || !bytes.HasPrefix(want, half) {
		t.Errorf("%d bytes, not the %d received", len(got), len(want))
	}
	if !u.Complete() {
		t.Error("the upload is not complete")
	}
}

// Without room, appending waits for a reader, and what was read is dropped: then no other reader can start.
func TestUploadBufferIsBounded(t *testing.T) {
	b := newBudget(0)
	u := NewUpload(10*MinBuffered, b)
	part := bytes.Repeat([]byte{1}, PartSize)
	for range MinBuffered / PartSize {
		u.Append(part, nil)
	}
	giveUp := make(chan struct{})
	close(giveUp)
	if u.Append(part, giveUp) {
		t.Error("it holds more than MinBuffered bytes")
	}
	r, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan []byte)
	go func() { done <- readN(t, r, 10*MinBuffered) }()
	for range 8 * MinBuffered / PartSize {
		if !u.Append(part, nil) {
			t.Fatal("no room although it is read")
		}
	}
	u.Finish(nil)
	if got := <-done; len(got) != 9*MinBuffered {
		t.Errorf("%d bytes", len(got))
	}
	if _, err := u.Open(); !errors.Is(err, ErrDropped) {
		t.Errorf("opened again: %v", err)
	}
	if b.Stats().Used != 0 {
		t.Errorf("%d of the budget used", b.Stats().Used)
	}
}

// Readers of a body that fails or is closed get an error, and the budget gets its bytes back.
func TestFailedOrClosedUpload(t *testing.T) {
	b := newBudget(1)
	u, overBudget := NewUpload(-1, b), NewUpload(-1, b)
	if u.limit != maxKeptBytes || overBudget.limit != MinBuffered {
		t.Errorf("%d and %d kept", u.limit, overBudget.limit)
	}
	r, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		_, err := r.Next()
		ended <- err
	}()
	broken := errors.New("broken")
	u.Finish(broken)
	if err := <-ended; err != broken {
		t.Errorf("%v", err)
	}
	u.Close()
	if _, err := u.Open(); err == nil {
		t.Error("opened although it is closed")
	}
	if b.Stats().Used != 0 {
		t.Errorf("%d of the budget used", b.Stats().Used)
	}
	p, err := overBudget.Open()
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Millisecond, p.Close)
	if _, err := p.Next(); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("%v", err)
	}
}
