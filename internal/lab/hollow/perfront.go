package hollow

// PerFront are what a front sent in a phase, on the mean, as it can be counted of real processes, too.
type PerFront struct {
	Probes       float64 // at watched nodes
	Messages     float64 // to other fronts, about cold nodes
	MessageBytes float64 // of these, without heads of UDP
}

// PerFront tells what a front sent, on the mean of the fleet.
func (r *Result) PerFront() PerFront {
	fronts := float64(r.Settings.Fronts)
	both := 2.0 // a message's bytes are counted where it leaves and where it comes
	return PerFront{Probes: total(r, probesWatched) / fronts, Messages: total(r, notesSent) / fronts, MessageBytes: total(r, noteBytes) / both / fronts}
}
