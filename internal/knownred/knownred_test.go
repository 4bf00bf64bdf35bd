package knownred

import (
	"fmt"
	"strings"
	"testing"
)

// run returns the events of one package's tests. A "!" after a name marks a test that fails.
func run(tests ...string) string {
	var out strings.Builder
	end := "pass"
	for _, t := range tests {
		name, red := strings.CutSuffix(t, "!")
		action := "pass"
		if red {
			action, end = "fail", "fail"
		}
		fmt.Fprintf(&out, `{"Action":"run","Package":"p","Test":%q}{"Action":"output","Package":"p","Test":%q,"Output":"said %s\n"}`, name, name, name)
		fmt.Fprintf(&out, `{"Action":%q,"Package":"p","Test":%q}`, action, name)
	}
	fmt.Fprintf(&out, `{"Action":%q,"Package":"p"}`, end)
	return out.String()
}

func TestWhatIsKnownToFailIsPassedOverAlone(t *testing.T) {
	one := "p.TestA: make test; it loses; issue 1\n"
	for _, c := range []struct{ name, list, events, wrong, says string }{
		{"known", one, run("TestA!", "TestB"), "", "known to fail: p.TestA: make test; it loses; issue 1"},
		{"a known test, in a subtest", one, run("TestA/part!", "TestA!"), "", "1 failed"},
		{"a listed test passes", one, run("TestA", "TestB"), "", "take it off the list: p.TestA"},
		{"another test fails", one, run("TestA!", "TestB!"), "p.TestB failed", "said TestB"},
		{"a listed test did not run", one, run("TestB"), "no test that ran", ""},
		{"several listed tests fail", one + "p.TestB: c; x; issue 1\np.TestC: c; x; issue 1\n", run("TestA!", "TestB!", "TestC!"), "", ""},
		{"one of several is not listed", one + "p.TestB: c; x; issue 1\n", run("TestA!", "TestB!", "TestC!"), "p.TestC failed", ""},
		{"a line without details", "p.TestA\n", run("TestA!"), "is not", ""},
		{"without a command", "p.TestA: it loses; issue 1\n", run("TestA!"), "is not", ""},
		{"with an empty observed failure", "p.TestA: make test; ; issue 1\n", run("TestA!"), "is not", ""},
		{"without an issue", "p.TestA: make test; it loses; soon\n", run("TestA!"), "is not", ""},
		{"an empty list", "\n", run("TestA"), "should not be there", ""},
		{"no test ran", one, "", "no test ran", ""},
		{"failed outside a test", one, run("TestA!") + `{"Action":"fail","Package":"q"}`, "q failed outside", ""},
		{"does not build", one, run("TestA!") + `{"Action":"build-fail","ImportPath":"q"}`, "q does not build", ""},
		{"truncated events", one, run("TestA!") + `{"Action`, "the run's events", ""},
	} {
		var out strings.Builder
		err := Judge(c.list, strings.NewReader(c.events), &out)
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) || !strings.Contains(out.String(), c.says) {
			t.Errorf("%s: %v, %q", c.name, err, out.String())
		}
	}
}
