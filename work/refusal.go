package work

// SetLeaving makes Submit refuse new entries, and empties the queue. It returns the entries that
// were waiting, which are not run. Granted slots are kept.
func (s *Scheduler) SetLeaving() []QueueEntry {
	s.leaving = true
	return s.emptyQueue()
}

// SetEvacuated sets whether the scheduler's failure domain is evacuated. While it is, Submit refuses
// new entries, and Start those that were granted a slot and have not been started, also if the sidecar
// is leaving. SetEvacuated(true) empties the queue and returns the entries that were waiting, which are
// not run.
func (s *Scheduler) SetEvacuated(evacuated bool) []QueueEntry {
	s.evacuated = evacuated
	if !evacuated {
		return nil
	}
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

// Evacuated reports whether the scheduler's failure domain is evacuated.
func (s *Scheduler) Evacuated() bool { return s.evacuated }

// refusal returns why Submit refuses all entries, ErrLeaving or ErrEvacuated; nil if it does not.
func (s *Scheduler) refusal() error {
	switch {
	case s.leaving:
		return ErrLeaving
	case s.evacuated:
		return ErrEvacuated
	}
	return nil
}
