package frames

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"reflect"
	"strings"
	"testing"
)

// sample encodes a complete file of batches.
func sample(t testing.TB, kind FileKind, batches ...[]Record) []byte {
	t.Helper()
	b, n := EncodeHeader(kind, 7), 0
	for i, batch := range batches {
		f, err := EncodeBatch(7, i, batch)
		if err != nil {
			t.Fatal(err)
		}
		b, n = append(b, f...), n+len(batch)
	}
	f, err := EncodeEnd(7, len(batches), n)
	if err != nil {
		t.Fatal(err)
	}
	return append(b, f...)
}

func one(name, body string) []Record {
	return []Record{{Name: name, Kind: "k", Format: 1, Body: []byte(body)}}
}

// An encoded file is decoded completely, and each kind of fault is reported with its position.
func TestFaultsAreReportedWithPosition(t *testing.T) {
	batches := [][]Record{one("a", "1"), one("b", "2")}
	good := sample(t, Snapshot, batches...)
	if c := Decode(Snapshot, 7, good); c.Fault != nil || !c.Ended || c.Valid != len(good) || !reflect.DeepEqual(c.Batches, batches) {
		t.Fatalf("%+v", c)
	}
	first, err := EncodeBatch(7, 0, batches[0])
	if err != nil {
		t.Fatal(err)
	}
	other := append(EncodeHeader(Snapshot, 7)[:len(magic)], 2, 0, 's', 7, 0, 0, 0, 0, 0, 0, 0)
	other = binary.LittleEndian.AppendUint32(other, crc32.Checksum(other, castagnoli))
	huge := append(EncodeHeader(Snapshot, 7), 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0)
	for _, c := range []struct {
		name       string
		kind       FileKind
		generation uint64
		file       []byte
		want       string
		batches    int
	}{
		{"empty", Snapshot, 7, nil, "byte 0: the file is empty", 0},
		{"short", Snapshot, 7, good[:5], "the header is cut off", 0},
		{"foreign", Snapshot, 7, bytes.Repeat([]byte("x"), 100), "not a store file", 0},
		{"newer", Snapshot, 7, other, "another version of the files: 2, this program reads 1", 0},
		{"a log", Log, 7, good, "file kind", 0},
		{"of another generation", Snapshot, 8, good, "generation 7, want 8", 0},
		{"without its end", Snapshot, 7, append(EncodeHeader(Snapshot, 7), first...), "has no end", 1},
		{"cut off", Snapshot, 7, good[:len(good)-1], "cut off", 2},
		{"more bytes", Snapshot, 7, append(bytes.Clone(good), first...), "after the end", 2},
		{"a frame twice", Snapshot, 7, append(append(EncodeHeader(Snapshot, 7), first...), first...), "frame 1: wrong checksum", 1},
		{"huge", Snapshot, 7, huge, "length of 2147483647 bytes", 0},
	} {
		got := Decode(c.kind, c.generation, c.file)
		if got.Fault == nil || !strings.Contains(got.Fault.Error(), c.want) || len(got.Batches) != c.batches {
			t.Errorf("%s: %v, %d batches", c.name, got.Fault, len(got.Batches))
		}
	}
}

// Records and batches that could not be decoded are not encoded.
func TestInvalidBatchesAreNotEncoded(t *testing.T) {
	for _, r := range []Record{{}, {Name: strings.Repeat("n", MaxName+1)}, {Name: "n", Kind: strings.Repeat("k", MaxName+1)},
		{Name: "n", Body: make([]byte, MaxFrame+1)}} {
		if _, err := EncodeBatch(1, 0, []Record{r}); err == nil {
			t.Errorf("name of %d, kind of %d and body of %d bytes accepted", len(r.Name), len(r.Kind), len(r.Body))
		}
	}
	if _, err := EncodeBatch(1, 0, make([]Record, MaxRecords+1)); err == nil {
		t.Error("too many records accepted")
	}
}

// File names are parsed as they are built, and other names are rejected.
func TestFileNames(t *testing.T) {
	for _, f := range []File{{"snapshot-000000000000000a", Snapshot, 10}, {"log-ffffffffffffffff", Log, 1<<64 - 1}} {
		if got, ok := Parse(f.Name); !ok || got != f || Name(f.Kind, f.Generation) != f.Name {
			t.Errorf("%+v, %t", got, ok)
		}
	}
	for _, name := range []string{"", "lock", "log-1", "log-000000000000000A", "snapshot-000000000000000a" + Unfinished, "tree-0000000000000001"} {
		if f, ok := Parse(name); ok {
			t.Errorf("%q is %+v", name, f)
		}
	}
}

// Decoding ends for any input, and batches that it accepts can be encoded again.
func FuzzRead(f *testing.F) {
	f.Add(sample(f, Snapshot, one("a", "1"), one("b", strings.Repeat("x", 100))))
	f.Add(sample(f, Snapshot))
	f.Add(EncodeHeader(Snapshot, 7))
	// A payload, which the fuzz target also puts into a frame with the right checksum, so that it is decoded.
	f.Add([]byte("\xa1\x01\x81\xa5\x01aa\x02ak\x03\x01\x04A1\x05\xf5"))
	f.Fuzz(func(t *testing.T, text []byte) {
		framed := binary.LittleEndian.AppendUint32(EncodeHeader(Snapshot, 7), uint32(len(text)))
		framed = append(binary.LittleEndian.AppendUint32(framed, sum(7, 0, text)), text...)
		for _, file := range [][]byte{text, framed} {
			c := Decode(Snapshot, 7, file)
			if c.Valid > len(file) || (c.Fault == nil) != (c.Ended && c.Valid == len(file)) {
				t.Fatalf("%+v of %d bytes", c, len(file))
			}
			for i, batch := range c.Batches {
				if _, err := EncodeBatch(7, i, batch); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
