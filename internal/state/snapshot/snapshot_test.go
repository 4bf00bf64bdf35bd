package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"os"
	"reflect"
	"testing"

	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

var update = flag.Bool("update", false, "rewrite the golden file of this version")

// sample has every field set, so that a test notices a field that is not stored.
func sample() Snapshot {
	return Snapshot{
		Front: "files-1", Settings: 7, Saved: 1_800_000_000_000_000, Count: 3, Closed: true, ListVersion: 41,
		Nodes: []Node{{Addr: "127.0.0.1:3022", LearnedNode: scheduler.LearnedNode{
			Endpoint: scheduler.Endpoint{Node: "node-a", Zone: 1, Shard: 2, State: scheduler.Draining, StartedAt: 5},
			NodeStats: scheduler.NodeStats{
				Budget: 8.5, Target: 150e3, Curve: curve.Curve{{Throughput: 10, Latency: 20e3, Low: 15e3}},
				SmoothedLatency: 30e3, PreviousLatency: 31e3, UnitTime: 4e3, ErrorRate: 0.25, LatencyUpdated: 6, LastAnswer: 7, SuspectedRestart: 8,
			},
		}}},
		VolumeUsages: []scheduler.VolumeUsage{{
			Volume: "riverside", Plan: 1, Fronts: 2, ReservationTag: 9.5,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: 30, At: 10, Lease: 4, BoundUntil: 11},
		}},
		FlowLeads: []scheduler.FlowLead{{Volume: "riverside", Plan: 1, Shard: 2, Units: 3.5, LastSend: 12}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	file, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(file)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("decoded %+v, %v; want the encoded snapshot", got, err)
	}
	reencoded, err := Encode(got)
	if err != nil || !bytes.Equal(reencoded, file) {
		t.Errorf("encoding the same snapshot again gave different bytes, %v", err)
	}
}

// A file that is truncated at any byte, is too long or has any bit flipped must be rejected.
func TestDecodeDetectsDamage(t *testing.T) {
	file, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	for n := range file {
		if _, err := Decode(file[:n]); !errors.Is(err, ErrDamaged) {
			t.Errorf("truncated to %d bytes: got %v, want ErrDamaged", n, err)
		}
	}
	if _, err := Decode(append(bytes.Clone(file), 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("one byte too many: got %v, want ErrDamaged", err)
	}
	for i := range len(file) * 8 {
		damaged := bytes.Clone(file)
		damaged[i/8] ^= 1 << (i % 8)
		if _, err := Decode(damaged); !errors.Is(err, ErrDamaged) {
			t.Errorf("bit %d flipped: got %v, want ErrDamaged", i, err)
		}
	}
}

// A file of the first version of the program must be decoded as long as the format version is supported.
func TestDecodesFileOfFirstVersion(t *testing.T) {
	const name = "testdata/version-1.learned"
	if *update {
		file, err := Encode(sample())
		if err == nil {
			err = os.WriteFile(name, file, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(file); err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("decoded %+v, %v; want the sample", got, err)
	}
	// An intact file of a later format version is not damaged, but this program can't decode it.
	binary.BigEndian.PutUint32(file[len(magic):], FormatVersion+1)
	binary.BigEndian.PutUint64(file[checksumOffset:], checksum(file))
	if _, err := Decode(file); !errors.Is(err, ErrVersion) {
		t.Errorf("file of the next format version: got %v, want ErrVersion", err)
	}
}

func TestFingerprintDependsOnSettings(t *testing.T) {
	a := scheduler.Settings{Fronts: 1, Plans: []scheduler.Plan{{Limit: 12}}}
	b, c := a, a
	b.Lease, b.MaxOpen = 5, 5 // learned state does not depend on them
	c.Plans = []scheduler.Plan{{Limit: 13}}
	if Fingerprint(a) != Fingerprint(b) || Fingerprint(a) == Fingerprint(c) {
		t.Error("fingerprint must depend on Plans and not on Lease and MaxOpen")
	}
}

func FuzzDecode(f *testing.F) {
	file, err := Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Fuzz(func(t *testing.T, file []byte) {
		if len(file) > headerSize { // correct length and checksum, so that the fuzzer reaches the body
			binary.BigEndian.PutUint64(file[len(magic)+4:], uint64(len(file)-headerSize))
			binary.BigEndian.PutUint64(file[checksumOffset:], checksum(file))
		}
		if s, err := Decode(file); err == nil {
			if _, err := Encode(s); err != nil {
				t.Errorf("decoded snapshot can't be encoded: %v", err)
			}
		}
	})
}
