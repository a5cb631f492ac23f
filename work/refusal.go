package work

// SetLeaving makes Submit refuse new entries, and empties the queue. It returns the entries that
// were waiting, which are not run. Granted slots are kept.
func (s *Scheduler) SetLeaving() []QueueEntry {
	s.refusal = ErrLeaving
	return s.emptyQueue()
}

// SetEvacuated sets whether the scheduler's failure domain is evacuated. While it is, Submit refuses
// new entries, and Start those that were granted a slot and have not been started. SetEvacuated then
// empties the queue and returns the entries that were waiting, which are not run. It does nothing once
// the sidecar is leaving.
func (s *Scheduler) SetEvacuated(evacuated bool) []QueueEntry {
	switch {
	case s.refusal == ErrLeaving:
		return nil
	case !evacuated:
		s.refusal = nil
		return nil
	}
	s.refusal = ErrEvacuated
	return s.emptyQueue()
}

// emptyQueue removes and returns the entries that wait for a slot.
func (s *Scheduler) emptyQueue() []QueueEntry {
	var waiting []QueueEntry
	for _, q := range s.queue {
		waiting = append(waiting, q.QueueEntry)
	}
	s.queue = nil
	return waiting
}

// Evacuated reports whether the scheduler refuses entries because its failure domain is evacuated.
func (s *Scheduler) Evacuated() bool { return s.refusal == ErrEvacuated }
