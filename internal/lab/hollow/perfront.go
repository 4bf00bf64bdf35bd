package hollow

// PerFront holds what a front sent in a phase on average. The same figures can be measured with real processes.
type PerFront struct {
	Probes       float64 // to watched nodes
	Messages     float64 // to other fronts, about cold nodes
	MessageBytes float64 // of these messages, without UDP headers
}

// PerFront returns what a front sent, averaged over the fleet.
func (r *Result) PerFront() PerFront {
	fronts := float64(r.Settings.Fronts)
	countsPerMessage := 2.0 // a message's bytes are counted at the sender and at the receiver
	return PerFront{
		Probes: total(r, probesToWatched) / fronts, Messages: total(r, peerMessagesSent) / fronts,
		MessageBytes: total(r, peerMessageBytes) / countsPerMessage / fronts,
	}
}
