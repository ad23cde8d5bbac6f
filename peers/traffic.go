package peers

import "github.com/rcrowley/go-metrics"

// The metrics of a kind of message are trafficMetric, its kind and one of these suffixes.
const (
	trafficMetric      = "peers."
	messagesSentSuffix = ".messages-sent"
	bytesSentSuffix    = ".bytes-sent"
	tunnelsKind        = "tunnels"
)

// WithMetrics counts in r the messages and bytes sent, by kind of message. Requests and responses
// count as their kind, without what QUIC adds; all tunnels are one kind.
func WithMetrics(r metrics.Registry) Option { return func(t *Transport) { t.metrics = r } }

// countSent counts a message of a kind. The kind must be one that this node uses or handles.
func (t *Transport) countSent(kind string, bytes int) {
	if t.metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter(trafficMetric+kind+messagesSentSuffix, t.metrics).Inc(1)
	metrics.GetOrRegisterCounter(trafficMetric+kind+bytesSentSuffix, t.metrics).Inc(int64(bytes))
}

func (t *Transport) countTunnel(bytes int) { t.countSent(tunnelsKind, bytes) }
