package dispatch

import "testing"

// Reported service times, which exclude queueing, set the speeds. This node's own runs do not show the speed of an
// executor that always has a queue, and slow executors were overloaded.
func TestReportedServiceTimesSetSpeeds(t *testing.T) {
	s := base()
	s.StartNotifications = false
	s.ReportFields = []ReportField{FieldLatency, FieldFree}
	slow := ready(8, 0)
	slow.Kind = 1
	r := newRig(t, s, ready(7, 0), slow)
	for i := range 30 {
		r.after(500)
		r.d.handleLoadReport(r.d.endpoints.byID[7], []float32{200 + float32(i), 2})
		r.d.handleLoadReport(r.d.endpoints.byID[8], []float32{800 + float32(i), 2})
	}
	if fast, slow := r.d.serviceTimes.kindSpeed(0), r.d.serviceTimes.kindSpeed(1); fast < 2*slow {
		t.Errorf("speeds %.2f and %.2f, want the first at least twice the second", fast, slow)
	}
}
