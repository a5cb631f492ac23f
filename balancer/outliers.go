package balancer

import (
	"math"

	"greengagedyke/flow"
)

// percent returns a share from 0 to 1 in percent.
func percent(share float64) int { return int(math.Round(100 * share)) }

// logOutliers logs and counts the members that were ejected or readmitted.
func (f *FlowBalancer) logOutliers(changes []flow.OutlierChange) {
	for i := range changes {
		c := &changes[i]
		evidence := []any{
			"address", c.Addr.String(), "failed-percent", percent(c.Evidence.FailureShare), "median-failed-percent", percent(c.Median.FailureShare),
			"answer-ms", c.Evidence.AnswerTime.Milliseconds(), "median-answer-ms", c.Median.AnswerTime.Milliseconds(),
		}
		if c.Ejected {
			f.ejected.Inc(1)
			f.log.Info("upstream-ejected", append(evidence, "for-ms", c.Pause.Milliseconds())...)
			continue
		}
		f.readmitted.Inc(1)
		f.log.Info("upstream-readmitted", append(evidence, "too-many-ejected", c.Panic)...)
	}
}
