package flow

// Latency is a kind of duration that a sidecar measures.
type Latency uint8

// The durations that are measured.
const (
	// LatencyOpen is the time from an opening packet to the upstream's answer.
	LatencyOpen Latency = iota
	// LatencyWait is the time that a request spends in the queue.
	LatencyWait
	// LatencyAnswer is the time from a request to the first byte of its answer.
	LatencyAnswer
	// LatencyCostError is the difference between the time that the upstream took for a request and
	// the time that was expected.
	LatencyCostError
	latencyCount
)

// LatencyCount is the number of latencies.
const LatencyCount = int(latencyCount)

// String returns the name of the latency's metric.
func (l Latency) String() string {
	return [...]string{"upstream.open", "request.wait", "upstream.answer", "request.cost-error"}[l]
}
