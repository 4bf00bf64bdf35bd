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

var update = flag.Bool("update", false, "write the file of this version anew")

// sample has every field set, so that one that is not kept shows.
func sample() Snapshot {
	return Snapshot{
		Front: "files-1", Settings: 7, Saved: 1_800_000_000_000_000, Count: 3, Closed: true, List: 41,
		Nodes: []Node{{Addr: "127.0.0.1:3022", LearnedNode: scheduler.LearnedNode{
			Endpoint: scheduler.Endpoint{Node: "node-a", Zone: 1, Shard: 2, State: scheduler.Draining, StartedAt: 5},
			NodeStats: scheduler.NodeStats{
				Budget: 8.5, Target: 150e3, Curve: curve.Curve{{Throughput: 10, Latency: 20e3, Low: 15e3}},
				SmoothedLatency: 30e3, PreviousLatency: 31e3, UnitTime: 4e3, ErrorRate: 0.25, LatencyUpdated: 6, LastAnswer: 7, SuspectedRestart: 8,
			},
		}}},
		Accounts: []scheduler.VolumeUsage{{
			Volume: "riverside", Plan: 1, Fronts: 2, ReservationTag: 9.5,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: 30, At: 10, Lease: 4, BoundUntil: 11},
		}},
		Leads: []scheduler.FlowLead{{Volume: "riverside", Plan: 1, Shard: 2, Units: 3.5, LastSend: 12}},
	}
}

func TestFileHoldsAllOfASnapshot(t *testing.T) {
	file, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(file)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("%+v, %v", got, err)
	}
	again, err := Encode(got)
	if err != nil || !bytes.Equal(again, file) {
		t.Errorf("the same snapshot became other bytes, %v", err)
	}
}

// A file that was cut at any byte, or that has any bit flipped, must not be read.
func TestDamageAnywhereShows(t *testing.T) {
	file, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	for n := range file {
		if _, err := Decode(file[:n]); !errors.Is(err, ErrDamaged) {
			t.Errorf("cut to %d bytes: %v", n, err)
		}
	}
	if _, err := Decode(append(bytes.Clone(file), 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("a byte too many: %v", err)
	}
	for i := range len(file) * 8 {
		bad := bytes.Clone(file)
		bad[i/8] ^= 1 << (i % 8)
		if _, err := Decode(bad); !errors.Is(err, ErrDamaged) {
			t.Errorf("bit %d flipped: %v", i, err)
		}
	}
}

// A file of this form, as the first version of the program wrote it, is read as long as the form is.
func TestFileOfTheFirstVersion(t *testing.T) {
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
		t.Errorf("%+v, %v", got, err)
	}
	// One of a form to come is whole, and not for this program.
	binary.BigEndian.PutUint32(file[len(letters):], FormVersion+1)
	binary.BigEndian.PutUint64(file[sumAt:], checksum(file))
	if _, err := Decode(file); !errors.Is(err, ErrVersion) {
		t.Errorf("of the next form: %v", err)
	}
}

func TestFingerprintTellsSettingsApart(t *testing.T) {
	a := scheduler.Settings{Fronts: 1, Plans: []scheduler.Plan{{Limit: 12}}}
	b, c := a, a
	b.Lease, b.MaxOpen = 5, 5 // what is learned does not depend on them
	c.Plans = []scheduler.Plan{{Limit: 13}}
	if Fingerprint(a) != Fingerprint(b) || Fingerprint(a) == Fingerprint(c) {
		t.Error("fingerprints don't follow the settings")
	}
}

func FuzzDecode(f *testing.F) {
	file, err := Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Fuzz(func(t *testing.T, file []byte) {
		if len(file) > headSize { // let the fuzzer past the checksum
			binary.BigEndian.PutUint64(file[len(letters)+4:], uint64(len(file)-headSize))
			binary.BigEndian.PutUint64(file[sumAt:], checksum(file))
		}
		if s, err := Decode(file); err == nil {
			if _, err := Encode(s); err != nil {
				t.Errorf("what was read can't be written: %v", err)
			}
		}
	})
}
