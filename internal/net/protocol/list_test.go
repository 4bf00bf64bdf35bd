package protocol

import (
	"runtime"
	"strings"
	"testing"
)

// Guards against a front that exceeds its memory limit because of a list of empty entries: decoded together, they took more than
// twenty times the memory of their text, and the text alone may take a share of the limit.
func TestInvalidListTakesLittleMemory(t *testing.T) {
	text := []byte(`{"seq":1,"hosts":[` + strings.Repeat("{},", 1<<20) + `{}]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := ParseList(text, nil, 0)
	runtime.ReadMemStats(&after)
	if err == nil || !strings.Contains(err.Error(), "hosts[0].host: missing") {
		t.Errorf("error %v, want one for the first entry", err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(len(text)) {
		t.Errorf("%d bytes allocated for a text of %d bytes", allocated, len(text))
	}
}

// Checks the forms of a list without entries, and values that are no list.
func TestListForms(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"seq":1}`: true, `{"seq":1,"hosts":null}`: true, `{"seq":1,"hosts":[]}`: true, "{\n \"Seq\": 1,\n \"Hosts\": [\n ]\n}": true,
		`{"seq":1,"hosts":{}}`: false, `{"seq":1,"hosts":7}`: false, `{"seq":1,"hosts":"x"}`: false, `{"seq":1,"hosts":[7]}`: false,
		`{"seq":1,"hosts":[null]}`: false, `{"seq":1,"hosts":[{"host":"x","health":"up","dial":"127.0.0.1:1","block":"1"}]}`: false,
	} {
		list, err := ParseList([]byte(text), nil, 0)
		if ok != (err == nil) || len(list.Hosts) > 0 {
			t.Errorf("%s: list %+v, error %v", text, list, err)
		}
	}
}
