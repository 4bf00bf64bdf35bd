package knownred

import (
	"fmt"
	"strings"
	"testing"
)

// testEvents returns the events of one package's tests. A "!" after a name marks a test that fails.
func testEvents(tests ...string) string {
	var out strings.Builder
	packageAction := "pass"
	for _, t := range tests {
		name, fails := strings.CutSuffix(t, "!")
		action := "pass"
		if fails {
			action, packageAction = "fail", "fail"
		}
		fmt.Fprintf(&out, `{"Action":"run","Package":"p","Test":%q}{"Action":"output","Package":"p","Test":%q,"Output":"said %s\n"}`, name, name, name)
		fmt.Fprintf(&out, `{"Action":%q,"Package":"p","Test":%q}`, action, name)
	}
	fmt.Fprintf(&out, `{"Action":%q,"Package":"p"}`, packageAction)
	return out.String()
}

func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	one := "p.TestA: make test; it loses; issue 1\n"
	for _, c := range []struct{ name, list, events, wantErr, wantOutput string }{
		{"known", one, testEvents("TestA!", "TestB"), "", "known to fail: p.TestA: make test; it loses; issue 1"},
		{"a known test, in a subtest", one, testEvents("TestA/part!", "TestA!"), "", "1 failed"},
		{"a listed test passes", one, testEvents("TestA", "TestB"), "", "take it off the list: p.TestA"},
		{"another test fails", one, testEvents("TestA!", "TestB!"), "p.TestB failed", "said TestB"},
		{"a listed test did not run", one, testEvents("TestB"), "no test that ran", ""},
		{"several listed tests fail", one + "p.TestB: c; x; issue 1\np.TestC: c; x; issue 1\n", testEvents("TestA!", "TestB!", "TestC!"), "", ""},
		{"one of several is not listed", one + "p.TestB: c; x; issue 1\n", testEvents("TestA!", "TestB!", "TestC!"), "p.TestC failed", ""},
		{"a line without details", "p.TestA\n", testEvents("TestA!"), "is not", ""},
		{"without a command", "p.TestA: it loses; issue 1\n", testEvents("TestA!"), "is not", ""},
		{"with an empty observed failure", "p.TestA: make test; ; issue 1\n", testEvents("TestA!"), "is not", ""},
		{"without an issue", "p.TestA: make test; it loses; soon\n", testEvents("TestA!"), "is not", ""},
		{"an empty list", "\n", testEvents("TestA"), "should not be there", ""},
		{"no test ran", one, "", "no test ran", ""},
		{"failed outside a test", one, testEvents("TestA!") + `{"Action":"fail","Package":"q"}`, "q failed outside", ""},
		{"does not build", one, testEvents("TestA!") + `{"Action":"build-fail","ImportPath":"q"}`, "q does not build", ""},
		{"truncated events", one, testEvents("TestA!") + `{"Action`, "the run's events", ""},
	} {
		var out strings.Builder
		err := Evaluate(c.list, strings.NewReader(c.events), &out)
		if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) ||
			!strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%s: %v, %q", c.name, err, out.String())
		}
	}
}
