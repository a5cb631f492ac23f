package balancer

import "greengagedyke/flow"

// logOutliers logs and counts the members that were ejected or readmitted.
func (f *FlowBalancer) logOutliers(changes []flow.OutlierChange) {
	for i := range changes {
		c := &changes[i]
		evidence := []any{
			"address", c.Addr.String(), "failure-share", c.Evidence.FailureShare, "median-failure-share", c.Median.FailureShare,
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
