package processes

import (
	"strings"
	"testing"

	"otterturn/internal/lab/hollow"
)

// Hollow fronts support the event of each scenario and send the traffic that it causes: probes or messages.
func TestHollowFrontsRunEachScenario(t *testing.T) {
	for _, s := range Scenarios {
		s.Fronts, s.Rate = 3, 60
		runs, err := runHollow(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range runs {
			if s.Event == BecomesSilent && p.Probes == 0 || s.Event == Restarts && (p.Messages == 0 || p.MessageBytes < p.Messages) {
				t.Errorf("%s: hollow fronts sent no traffic for the event: %+v", s.Name, p)
			}
		}
	}
}

func TestAgreementAllowsTenPercentDifference(t *testing.T) {
	runs := []hollow.PerFront{{Probes: 9}, {Probes: 11}}
	for realValue, agree := range map[float64]bool{10: true, 10.9: true, 11.2: false, 8.8: false, 0: false} {
		text := describeAgreement(realValue, runs, func(p hollow.PerFront) float64 { return p.Probes })
		if strings.Contains(text, "agree") != agree {
			t.Errorf("%v compared with 9 and 11: %s", realValue, text)
		}
	}
	if text := describeAgreement(1, []hollow.PerFront{{}, {}}, func(p hollow.PerFront) float64 { return p.Probes }); strings.Contains(text,
		"agree") {
		t.Errorf("1 compared with a mean of 0: %s", text)
	}
}
